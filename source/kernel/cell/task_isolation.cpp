#include "kernel/cell/task_isolation.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Suspected tasks that may share a worker.
constexpr std::uint32_t max_group_size = 4;
/// From this number of lost workers on, a task runs alone.
constexpr std::uint32_t losses_to_run_alone = 2;
/// How long a task waits for a worker without other tasks.
constexpr duration max_isolation_wait = std::chrono::milliseconds{2500};
/// How long a task that is to run alone waits for any isolation.
constexpr duration max_proof_wait = std::chrono::seconds{5};
/// With this many lost workers a task is not started again until it is known
/// how the last ones were lost.
constexpr std::uint32_t max_unexplained_crashes = 4;
/// A run that is older than this when its worker is lost is less suspected.
constexpr duration max_early_age = std::chrono::milliseconds{250};
/// A run of this age is not suspected if its worker crashes.
constexpr duration max_suspected_age = std::chrono::seconds{2};
/// The same for a long-running task, which is on a worker all the time, so that
/// many crashes that it has no part in come soon after one of its starts.
constexpr duration max_long_running_suspected_age =
    std::chrono::milliseconds{100};
/// One worker in this many may be kept for suspected tasks.
constexpr std::size_t workers_per_isolated_worker = 3;

} // namespace

bool is_given_up(task_state const& task, bool long_running)
{
    bool const is_proved = task.crashes_ >= max_crashes &&
                           task.prime_crashes_ > 0 &&
                           task.begun_crashes_ >= min_begun_crashes;
    return (is_proved && !long_running) ||
           task.crashes_ >= max_unproved_crashes;
}

bool ran_before(task_state const& task, time_point lost_at)
{
    return task.started_ != time_point{} &&
           lost_at > task.started_ + max_early_age;
}

bool needs_crash_proof(task_state const& task)
{
    return task.crashes_ + task.unexplained_losses_ >= max_crashes;
}

bool is_held(task_state const& task, bool long_running)
{
    auto const most =
        long_running ? max_unproved_crashes : max_unexplained_crashes;
    return task.unexplained_losses_ > 0 &&
           task.crashes_ + task.unexplained_losses_ >= most;
}

task_isolation required_isolation(task_state const& task, time_point now)
{
    auto const losses = task.crashes_ + task.unexplained_losses_;
    auto const waited = now - task.waiting_since_;
    if (losses == 0)
    {
        return task_isolation::none;
    }
    if (losses < losses_to_run_alone)
    {
        return task.ran_before_loss_         ? task_isolation::none
               : waited > max_isolation_wait ? task_isolation::waived
                                             : task_isolation::grouped;
    }
    return waited > max_proof_wait       ? task_isolation::waived
           : waited > max_isolation_wait ? task_isolation::beside_long_running
                                         : task_isolation::alone;
}

bool respects_isolation(worker_state const& worker, task_isolation isolation,
                        time_point now)
{
    switch (isolation)
    {
    case task_isolation::none:
        return worker.suspected_tasks_ == 0 && now >= worker.isolated_until_;
    case task_isolation::grouped:
        return worker.suspected_tasks_ == worker.tasks_.size() &&
               worker.suspected_tasks_ < max_group_size && !worker.runs_alone_;
    case task_isolation::alone:
        return worker.tasks_.empty();
    case task_isolation::waived:
        return worker.suspected_tasks_ == 0;
    case task_isolation::beside_long_running:
        return worker.suspected_tasks_ == 0 &&
               worker.tasks_.size() == worker.long_running_tasks_;
    }
    return true;
}

bool may_have_crashed(task_state const& task, bool long_running,
                      time_point lost_at)
{
    bool const is_running = task.phase_ == task_phase::running ||
                            task.phase_ == task_phase::stopping;
    auto const max_age =
        long_running ? max_long_running_suspected_age : max_suspected_age;
    bool const has_lasted =
        lost_at > task.started_ + max_age && task.started_ != time_point{};
    // An unanswered start may be carried out at any time.
    bool const may_run =
        (is_running && !has_lasted) || task.phase_ == task_phase::unresolved;
    return may_run && task.start_sent_ <= lost_at;
}

std::size_t max_isolated_workers(std::size_t pool_workers)
{
    return std::max<std::size_t>(1, pool_workers / workers_per_isolated_worker);
}

} // namespace cuminfold
