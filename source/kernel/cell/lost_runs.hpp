#ifndef CUMINFOLD_KERNEL_CELL_LOST_RUNS_HPP
#define CUMINFOLD_KERNEL_CELL_LOST_RUNS_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/identifier.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfold
{

/// A run whose worker does not answer. Whether it was lost is known once the
/// worker answers, or another incarnation does. It is stored, so that the next
/// owner learns it too.
struct lost_run
{
    /// The job is left empty in records.
    task_id task_;
    std::uint32_t run_ = 0;
    /// It is counted in the task's `start_budget`.
    bool is_counted_ = false;
    /// It may have crashed the worker, as `task_state::unexplained_losses_`
    /// counts.
    bool is_suspected_ = false;
    std::string worker_;
    /// Empty if it is not known.
    vm_id vm_;
};

using lost_runs = std::vector<lost_run>;

/// @return one row a run, empty if there are none
std::string encode(lost_runs const& runs);

/// @throws std::invalid_argument if `encode()` cannot have written the text
lost_runs decode_lost_runs(std::string const& text);

} // namespace cuminfold

#endif
