#include "kernel/cell/cell.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Minimum delay before a failed task is started again.
constexpr duration restart_delay = std::chrono::milliseconds{50};
/// The same for a long-running task that fails for a reason of its own.
constexpr duration long_restart_delay = std::chrono::seconds{1};
/// Failures of a long-running task that count as failures of its workers. One
/// that fails more often would make placement avoid them all.
constexpr std::uint32_t max_failures_of_workers = 4;
/// Number of consecutive failures from which placement avoids a worker.
constexpr std::uint32_t failures_to_avoid = 2;
/// How long a worker is avoided at first. Each further failure doubles the
/// time, up to `max_avoidance_doublings` times.
constexpr duration first_avoidance = std::chrono::seconds{2};
constexpr std::uint32_t max_avoidance_doublings = 3;

} // namespace

cell::task_location cell::find(task_id const& task)
{
    task_location at;
    auto const found = jobs_.find(task.job_.text());
    if (found == jobs_.end() || !found->second.request_ ||
        task.occurrence_ >= found->second.occurrences_.size())
    {
        return at;
    }
    auto& job = found->second;
    auto& steps = job.occurrences_[task.occurrence_].steps_;
    if (task.step_ >= steps.size() ||
        task.index_ >= steps[task.step_].tasks_.size())
    {
        return at;
    }
    at.job_ = &job;
    at.step_ = &steps[task.step_];
    at.shape_ = &job.request_->steps_[task.step_];
    at.task_ = &at.step_->tasks_[task.index_];
    return at;
}

worker_state& cell::ensure_worker(std::string const& worker, time_point now)
{
    auto const inserted = workers_.try_emplace(worker);
    auto& state = inserted.first->second;
    if (inserted.second)
    {
        // Until it answers this owner, it may run tasks under a lease of an
        // earlier owner.
        state.entry_.id_ = worker;
        state.unlisted_ = true;
        state.token_offset_ = token_offset_;
        state.answered_ = now;
        state.first_seen_ = now;
        state.lease_expires_at_ =
            takeover_time_ + options_.confirmation_limit_ +
            std::chrono::duration_cast<duration>(options_.lease_ * 1.05);
    }
    return state;
}

void cell::occupy(task_id const& task, task_location const& at,
                  std::string const& worker)
{
    at.task_->worker_ = worker;
    --at.step_->waiting_;
    auto& state = workers_.at(worker);
    state.used_ += demand_of(*at.shape_);
    state.tasks_.insert(task);
    state.long_running_tasks_ += at.shape_->long_running_ ? 1 : 0;
    state.best_effort_tasks_ += at.shape_->best_effort_ ? 1 : 0;
    state.tail_bounded_tasks_ += at.shape_->tail_target_ > duration{0} ? 1 : 0;
    if (at.job_->account_ != nullptr)
    {
        at.job_->account_->add(at.shape_->each_);
    }
}

void cell::release(task_id const& task, task_location const& at, time_point now)
{
    auto const found = workers_.find(at.task_->worker_);
    if (found != workers_.end() && found->second.tasks_.erase(task) != 0)
    {
        found->second.used_ -= demand_of(*at.shape_);
        found->second.long_running_tasks_ -= at.shape_->long_running_ ? 1 : 0;
        found->second.best_effort_tasks_ -= at.shape_->best_effort_ ? 1 : 0;
        found->second.tail_bounded_tasks_ -=
            at.shape_->tail_target_ > duration{0} ? 1 : 0;
        end_isolation(found->second, *at.task_);
    }
    if (at.job_->account_ != nullptr && !at.task_->worker_.empty())
    {
        at.job_->account_->remove(at.shape_->each_);
    }
    if (at.task_->phase_ == task_phase::placed)
    {
        update_budget(task, at, &start_budget::on_not_started, at.task_->run_);
    }
    at.task_->isolation_ = task_isolation::none;
    at.task_->waiting_since_ = now;
    at.task_->worker_.clear();
    at.task_->phase_ = task_phase::waiting;
    at.task_->stop_accepted_ = false;
    at.task_->stop_sent_ = {};
    at.task_->own_start_ = false;
    at.task_->start_in_flight_ = false;
    at.task_->start_sent_ = {};
    at.task_->started_ = {};
    at.task_->reported_at_ = {};
    at.task_->missing_since_ = {};
    at.task_->established_at_ = {};
    at.task_->percent_ = 0;
    ++at.step_->waiting_;
    if (at.task_->unavailable_since_ == time_point{})
    {
        at.task_->unavailable_since_ = now;
    }
    placement_due_ = true;
}

void cell::finish(task_id const& task, task_location const& at, time_point now)
{
    auto& job = *at.job_;
    if (!at.task_->worker_.empty())
    {
        release(task, at, now);
    }
    at.task_->phase_ = task_phase::done;
    --at.step_->waiting_;
    ++at.step_->done_;
    mark_dirty(job, task);
    update_done(job.occurrences_[task.occurrence_]);
    complete_if_done(job, now);
}

void cell::update_done(occurrence_state& occurrence)
{
    occurrence.done_ =
        std::all_of(occurrence.steps_.begin(), occurrence.steps_.end(),
                    [](step_state const& step)
                    { return step.done_ == step.tasks_.size(); });
}

void cell::complete_if_done(job_state& job, time_point now)
{
    auto const expected = std::max<std::size_t>(1, job.request_->occurrences_);
    bool const all_done =
        job.occurrences_.size() == expected &&
        std::all_of(job.occurrences_.begin(), job.occurrences_.end(),
                    [](occurrence_state const& each) { return each.done_; });
    if (all_done && !job.ended())
    {
        job.status_ = job_status::completed;
        job.ended_ = now;
        mark_dirty(job);
        log_event("job_completed", job.request_->id_.text(),
                  "ms=" + in_milliseconds(now - job.arrived_));
    }
}

void cell::complete_run(task_id const& task, task_location const& at,
                        time_point now)
{
    if (!at.shape_->gang_)
    {
        finish(task, at, now);
        return;
    }
    for (std::uint32_t i = 0; i < at.step_->tasks_.size(); ++i)
    {
        auto member = task;
        member.index_ = i;
        auto const other = find(member);
        if (!other || other.task_->phase_ == task_phase::done)
        {
            continue;
        }
        auto const worker = workers_.find(other.task_->worker_);
        if (worker != workers_.end() && i != task.index_)
        {
            worker->second.end_due_ = now;
        }
        finish(member, other, now);
    }
}

std::uint32_t cell::max_attempts_of(job_state const& job) const
{
    auto const* const route = config_.find_by_name(job.route_);
    return route != nullptr ? route->max_attempts_
           : job.request_   ? job.request_->max_attempts_
                            : 1;
}

void cell::fail_job(job_state& job, std::string const& cause, time_point now)
{
    if (!job.ended())
    {
        job.status_ = job_status::failed;
        job.ended_ = now;
        log_event("job_failed", job.request_->id_.text(), cause);
        mark_dirty(job);
    }
}

void cell::record_failure(worker_state& worker, time_point now)
{
    ++worker.consecutive_failures_;
    worker.last_failure_ = now;
    if (worker.consecutive_failures_ >= failures_to_avoid)
    {
        auto const doublings =
            std::min(worker.consecutive_failures_ - failures_to_avoid,
                     max_avoidance_doublings);
        duration const avoidance = first_avoidance * (1U << doublings);
        worker.avoided_until_ = now + avoidance;
        log_event("worker_avoided", worker.entry_.id_,
                  "strikes=" + std::to_string(worker.consecutive_failures_) +
                      " ms=" + in_milliseconds(avoidance));
    }
}

std::uint32_t cell::failures_of_gang(step_state const& gang)
{
    std::uint32_t failures = 0;
    for (auto const& member : gang.tasks_)
    {
        failures = std::max(failures, member.failures_);
    }
    return failures;
}

void cell::count_failure(task_location const& at)
{
    auto& task = *at.task_;
    auto failures = task.failures_ + 1;
    if (at.shape_->gang_)
    {
        bool const is_counted = at.step_->failed_run_ == task.run_;
        auto const runs = failures_of_gang(*at.step_);
        failures = std::max(failures, is_counted ? runs : runs + 1);
        at.step_->failed_run_ = task.run_;
    }
    task.failures_ = failures;
}

void cell::restore_failed_run(step_state& gang)
{
    auto const runs = failures_of_gang(gang);
    for (auto const& member : gang.tasks_)
    {
        // It may have ended otherwise in its latest run; then a failure of
        // another member in that run is not counted.
        if (runs > 0 && member.failures_ == runs && member.worker_.empty())
        {
            gang.failed_run_ = std::max(gang.failed_run_, member.run_);
        }
    }
}

void cell::handle_failure(worker_state& worker, task_id const& task,
                          task_location const& at, time_point now)
{
    count_failure(at);
    bool const is_fault_of_task = at.shape_->long_running_ &&
                                  at.task_->failures_ > max_failures_of_workers;
    if (!is_fault_of_task)
    {
        record_failure(worker, now);
    }
    release(task, at, now);
    at.task_->not_before_ =
        now + (is_fault_of_task ? long_restart_delay : restart_delay);
    mark_dirty(*at.job_, task);
    auto const failures = at.task_->failures_;
    if (!at.shape_->long_running_ && failures >= max_attempts_of(*at.job_))
    {
        fail_job(*at.job_,
                 describe(task) + " failures=" + std::to_string(failures), now);
    }
}

void cell::handle_end(worker_state& worker, end_report const& end,
                      time_point now)
{
    auto const at = find(end.task_);
    auto const orphan = worker.orphaned_runs_.find(end.task_);
    if (orphan != worker.orphaned_runs_.end() &&
        orphan->second.run_ == end.run_)
    {
        worker.orphaned_runs_.erase(orphan);
        update_orphan_end(end.task_);
    }
    if (!at || at.task_->phase_ == task_phase::done)
    {
        return;
    }
    bool const is_present_run =
        at.task_->worker_ == worker.entry_.id_ && at.task_->run_ == end.run_;
    if (!is_present_run)
    {
        // Beyond its lease an end does not count for the platform.
        bool const is_completed = end.outcome_ == run_end::done &&
                                  now <= worker.lease_expires_at_ &&
                                  at.task_->phase_ == task_phase::waiting &&
                                  !at.shape_->long_running_;
        if (is_completed)
        {
            log_event("orphan_completed", describe(end.task_),
                      worker.entry_.id_ + " run=" + std::to_string(end.run_));
            complete_run(end.task_, at, now);
        }
        return;
    }
    at.job_->begun_ = true;
    // Ends are listed in their order: those of runs that ended while this one
    // was still known to run have been read.
    worker.ends_read_to_ = std::max(
        {worker.ends_read_to_, at.task_->start_sent_, at.task_->reported_at_});
    if (at.shape_->checkpointing_ && !end.checkpoint_.empty())
    {
        at.task_->checkpoint_ = end.checkpoint_;
    }
    switch (end.outcome_)
    {
    case run_end::done:
        if (at.shape_->long_running_)
        {
            release(end.task_, at, now);
            mark_dirty(*at.job_, end.task_);
            return;
        }
        worker.consecutive_failures_ = 0;
        if (at.task_->own_start_ && at.task_->checkpoint_.empty())
        {
            auto const run_time =
                std::chrono::duration_cast<duration>(now - at.task_->started_);
            run_times_.observe(at.job_->route_, *at.shape_, run_time);
            at.step_->run_time_ = at.step_->done_ == 0
                                      ? run_time
                                      : std::min(at.step_->run_time_, run_time);
        }
        complete_run(end.task_, at, now);
        return;
    case run_end::failed:
        handle_failure(worker, end.task_, at, now);
        return;
    case run_end::stopped:
    case run_end::lapsed:
    case run_end::gang_broken:
    case run_end::gang_incomplete:
    case run_end::unknown:
        release(end.task_, at, now);
        mark_dirty(*at.job_, end.task_);
        return;
    }
}

} // namespace cuminfold
