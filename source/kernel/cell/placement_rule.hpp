#ifndef CUMINFOLD_KERNEL_CELL_PLACEMENT_RULE_HPP
#define CUMINFOLD_KERNEL_CELL_PLACEMENT_RULE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/job_state.hpp"
#include "kernel/cell/worker_state.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <optional>

namespace cuminfold
{

/// The input of a placement rule.
struct placement_view
{
    worker_state const& worker_;
    job_step const& shape_;
    /// Number of the step's tasks on that worker.
    std::uint32_t same_step_ = 0;
    time_point now_{};
    /// The isolation that the task needs; unset if any may be.
    std::optional<task_isolation> isolation_;
    /// Whether the task could take the room of a reserved VM.
    bool ignores_reservation_ = false;
};

/// A condition that must hold before a task may be placed on a worker.
struct placement_rule
{
    /// Why the worker cannot run the task if the rule is violated.
    char const* reason_;
    bool (*is_satisfied_)(placement_view const&);
};

/// @return the first rule that the placement violates; null if the task may be
/// placed on the worker
placement_rule const* violated_rule(placement_view const& view);

/// Whether the worker violates no rule that excludes it for all tasks.
/// @param ignores_reservation as in `placement_view`
bool is_candidate(worker_state const& worker, bool ignores_reservation,
                  time_point now);

/// How many tasks of the step the worker may take, at most `limit`. None if a
/// rule is violated.
std::uint32_t task_slots(placement_view const& view, std::uint32_t limit);

/// The share of a worker that `need` occupies: the largest share of any
/// resource, where 1 is the whole worker.
double worker_share(resource_amount const& need, resource_amount const& size);

/// Rates a worker that may run the task; the highest score is preferred.
double placement_score(placement_view const& view);

} // namespace cuminfold

#endif
