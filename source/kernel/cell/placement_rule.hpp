#ifndef CUMINFOLD_KERNEL_CELL_PLACEMENT_RULE_HPP
#define CUMINFOLD_KERNEL_CELL_PLACEMENT_RULE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/worker_state.hpp"
#include "kernel/time.hpp"

#include <cstdint>

namespace cuminfold
{

/// What a rule of placement looks at.
struct placement_view
{
    worker_state const& worker_;
    job_step const& shape_;
    /// Tasks of the step that are on that worker.
    std::uint32_t same_step_ = 0;
    time_point now_{};
};

/// A condition that must hold before a task may be placed on a worker.
struct placement_rule
{
    /// Why the worker cannot take the task, if the rule does not hold.
    char const* reason_;
    bool (*is_satisfied_)(placement_view const&);
};

/// The first rule that keeps the task off the worker; null if it may go there.
placement_rule const* violated_rule(placement_view const& view);

/// The part of a worker that the scarcest of its resources leaves for nothing
/// else: 1 is all of it.
double worker_share(resource_amount const& need, resource_amount const& size);

/// Preference among the workers that may take a task; the highest goes first.
double placement_score(placement_view const& view);

} // namespace cuminfold

#endif
