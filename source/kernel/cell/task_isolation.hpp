#ifndef CUMINFOLD_KERNEL_CELL_TASK_ISOLATION_HPP
#define CUMINFOLD_KERNEL_CELL_TASK_ISOLATION_HPP

#include "kernel/cell/job_state.hpp"
#include "kernel/cell/worker_state.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>

namespace cuminfold
{

/// Number of crashes after which a task is given up, if it was the prime
/// suspect of one of them, and enough of them came under runs that had begun.
constexpr std::uint32_t max_crashes = 3;
/// Number of crashes under runs that are known to have begun, without which
/// `max_crashes` do not count: the users allow a job to be given up after two.
constexpr std::uint32_t min_begun_crashes = 2;
/// Number of crashes after which a task is given up in any case.
constexpr std::uint32_t max_unproved_crashes = 5;

/// Whether the task has crashed so many workers that it is not started again.
/// A long-running task needs more crashes without a pause between: it is on
/// some worker all the time, so that it meets many that it has no part in.
bool is_given_up(task_state const& task, bool long_running);

/// Whether the run had lasted for a while when its worker was lost. Most tasks
/// that crash their worker do so soon after their start.
bool ran_before(task_state const& task, time_point lost_at);

/// The isolation that the task needs at its next start, by the workers that
/// were lost under it. A task that has waited for an isolated worker for too
/// long needs less: it may not wait for ever in a pool that is busy.
task_isolation required_isolation(task_state const& task, time_point now);

/// Whether the task is to be given up if the workers that it lost have crashed,
/// so that its next start waits for a moment for the proof.
bool needs_crash_proof(task_state const& task);

/// Whether the task has lost so many workers that it is not started before it
/// is known how. A long-running task, which is to run at all times, is held
/// only before it may be given up.
bool is_held(task_state const& task, bool long_running);

/// Whether a task with that isolation may be placed beside the worker's other
/// tasks.
bool respects_isolation(worker_state const& worker, task_isolation isolation,
                        time_point now);

/// Whether a worker that was lost at that time may have crashed because of the
/// task. A run that had lasted for some seconds is not suspected, and neither
/// is one whose start was sent later or has not been answered yet.
bool may_have_crashed(task_state const& task, bool long_running,
                      time_point lost_at);

/// How many of a pool's workers may be kept for suspected tasks.
std::size_t max_isolated_workers(std::size_t pool_workers);

} // namespace cuminfold

#endif
