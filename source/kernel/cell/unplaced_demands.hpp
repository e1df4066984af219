#ifndef CUMINFOLD_KERNEL_CELL_UNPLACED_DEMANDS_HPP
#define CUMINFOLD_KERNEL_CELL_UNPLACED_DEMANDS_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/worker_state.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// What could not be placed on the candidates of a pool in one placement, in
/// which their room only shrinks. A step that demands as much or more can't be
/// placed either, and needs no search.
class unplaced_demands
{
public:
    explicit unplaced_demands(std::vector<worker_state*> const& candidates);

    /// No candidate has room for a task of that shape, whatever runs there of
    /// the same step.
    void add_task(job_step const& shape);
    /// The candidates have no room for that gang.
    void add_gang(job_step const& shape);

    bool covers_task(job_step const& shape);
    bool covers_gang(job_step const& shape);

private:
    struct demand
    {
        job_step shape_;
        /// Number of tasks to be placed together.
        std::uint32_t tasks_ = 1;
    };

    bool covers(job_step const& shape, std::uint32_t tasks,
                std::uint32_t per_worker);
    bool has_label(std::string const& label);

    std::vector<worker_state*> const& candidates_;
    /// The labels of all candidates; unset until a step needs one.
    std::optional<std::set<std::string>> labels_;
    std::vector<demand> demands_;
};

} // namespace cuminfold

#endif
