#include "kernel/cell/cell.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Long-running tasks leave a draining worker within the `max_unavailable` of
/// their steps for this long; after that, the rest leave at once.
constexpr duration gradual_evacuation_time = std::chrono::milliseconds{1200};

} // namespace

void cell::send_stop(worker_state& worker, task_id const& task,
                     std::uint32_t run, char const* cause)
{
    stop_run order;
    order.worker_ = worker.entry_.id_;
    order.address_ = worker.entry_.address_;
    order.task_ = task;
    order.run_ = run;
    order.token_offset_ = worker.token_offset_;
    order.cause_ = cause;
    actions_.emplace_back(std::move(order));
}

void cell::repeat_stops(time_point now)
{
    if (!can_send_orders(now))
    {
        return;
    }
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        if (worker.entry_.address_.empty() || !worker.fenced_)
        {
            continue;
        }
        std::vector<task_id> not_started;
        for (auto const& task : worker.tasks_)
        {
            auto const at = find(task);
            if (!at)
            {
                continue;
            }
            auto& state = *at.task_;
            bool const ended =
                at.job_->ended() && at.job_->stored_status_ == at.job_->status_;
            if (ended && state.phase_ == task_phase::placed)
            {
                not_started.push_back(task);
                continue;
            }
            bool const must_settle = state.phase_ == task_phase::unresolved &&
                                     state.stop_sent_ != time_point{} &&
                                     may_settle(at, worker, now);
            bool const must_evacuate = state.phase_ == task_phase::stopping &&
                                       may_be_evacuated(at, worker, now);
            bool const must_stop = ended || must_settle || must_evacuate;
            if (must_stop && !state.stop_accepted_ &&
                now - state.stop_sent_ >= options_.stop_retry_interval_)
            {
                if (state.phase_ == task_phase::running)
                {
                    state.phase_ = task_phase::stopping;
                }
                state.stop_sent_ = now;
                send_stop(worker, task, state.run_,
                          ended ? "job_ended" : "not_wanted_there");
            }
        }
        for (auto const& task : not_started)
        {
            release(task, find(task), now);
        }
        if (now - worker.orphans_stopped_at_ >= options_.stop_retry_interval_)
        {
            worker.orphans_stopped_at_ = now;
            for (auto const& orphan : worker.orphaned_runs_)
            {
                send_stop(worker, orphan.first, orphan.second.run_,
                          "stray_run");
            }
        }
    }
}

void cell::drop_lapsed_tasks(worker_state& worker, time_point now)
{
    auto const kept = tasks_to_keep(worker, now);
    bool const keeps_all = kept.size() == worker.tasks_.size();
    if (keeps_all && kept.size() == worker.kept_tasks_)
    {
        return;
    }
    worker.kept_tasks_ = kept.size();
    log_event("worker_lapsed", worker.entry_.id_,
              "tasks=" + std::to_string(worker.tasks_.size()) +
                  " kept=" + std::to_string(kept.size()) +
                  " unconfirmed=" + std::to_string(count_unconfirmed(worker)) +
                  " proved_ago=" + describe_age(worker.alone_until_, now) +
                  describe_lease(worker, now));
    if (keeps_all)
    {
        return;
    }
    if (worker.entry_.address_.empty())
    {
        // Known from an earlier owner's records alone: nothing will show how it
        // was lost.
        count_crash(worker, false, now, {}, kept);
    }
    else
    {
        record_loss(worker, kept, now);
    }
    for (auto const& run : count_lost_runs(worker, now, {}, kept))
    {
        worker.lapsed_runs_.insert(run);
        store_lost_runs(*find(run.first).job_, run.first);
    }
    worker.lost_at_ = now;
    release_all(worker, now, kept);
}

void cell::drop_lapsed_workers(time_point now)
{
    for (auto position = workers_.begin(); position != workers_.end();)
    {
        auto& worker = position->second;
        bool const silent = worker.unanswered_renewals_ > 0 ||
                            worker.entry_.address_.empty() || worker.unlisted_;
        if (silent && now > runs_end_by(worker) && !worker.tasks_.empty())
        {
            drop_lapsed_tasks(worker, now);
        }
        drop_foreign_lease(worker, now);
        if (now - worker.lost_at_ > max_loss_age)
        {
            if (!worker.lost_runs_.empty())
            {
                log_event("losses_unexplained", worker.entry_.id_,
                          "runs=" + std::to_string(worker.lost_runs_.size()));
            }
            forget_losses(worker);
            if (worker.unlisted_)
            {
                settle_lapsed_runs(worker);
            }
        }
        bool const removable = worker.unlisted_ && worker.tasks_.empty() &&
                               worker.lost_runs_.empty() &&
                               worker.lapsed_runs_.empty() &&
                               may_be_forgotten(worker, now);
        position = removable ? erase_worker(position) : std::next(position);
    }
}

void cell::stop_stalled(time_point now)
{
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        for (auto const& task : worker.tasks_)
        {
            auto const at = find(task);
            if (!at || at.task_->phase_ != task_phase::running ||
                at.shape_->long_running_ || at.shape_->gang_)
            {
                continue;
            }
            auto const limit = std::max(
                options_.min_stall_timeout_,
                std::chrono::duration_cast<duration>(
                    at.step_->run_time_ * options_.stall_timeout_share_));
            bool const stalled =
                worker.answered_ - at.task_->progressed_at_ > limit;
            if (stalled)
            {
                log_event("run_stalled", describe(task), item.first);
                record_failure(worker, now);
                at.task_->phase_ = task_phase::stopping;
            }
        }
    }
}

bool cell::is_available(task_state const& task, time_point now) const
{
    auto const worker = workers_.find(task.worker_);
    return task.phase_ == task_phase::running && now >= task.established_at_ &&
           task.unavailable_since_ == time_point{} &&
           worker != workers_.end() && worker->second.unanswered_renewals_ == 0;
}

std::uint32_t cell::count_unavailable_others(task_location const& at,
                                             time_point now) const
{
    std::uint32_t unavailable = 0;
    for (auto const& other : at.step_->tasks_)
    {
        unavailable += &other != at.task_ && !is_available(other, now) ? 1 : 0;
    }
    return unavailable;
}

std::uint32_t cell::max_unavailable(job_step const& shape)
{
    return std::max<std::uint32_t>(1, shape.max_unavailable_);
}

bool cell::may_end(task_location const& at, time_point now) const
{
    return count_unavailable_others(at, now) < max_unavailable(*at.shape_);
}

bool cell::may_be_evacuated(task_location const& at, worker_state const& worker,
                            time_point now) const
{
    return !at.shape_->long_running_ || worker.entry_.draining_ ||
           may_end(at, now);
}

bool cell::may_settle(task_location const& at, worker_state const& worker,
                      time_point now) const
{
    return !at.shape_->long_running_ ||
           worker.clock_ >= at.task_->start_expires_at_ || may_end(at, now);
}

bool cell::has_pending_stop(task_location const& at) const
{
    return std::any_of(at.step_->tasks_.begin(), at.step_->tasks_.end(),
                       [&](task_state const& task)
                       {
                           auto const worker = workers_.find(task.worker_);
                           return task.phase_ == task_phase::stopping &&
                                  worker != workers_.end() &&
                                  !worker->second.entry_.draining_;
                       });
}

void cell::evacuate_draining_workers(time_point now)
{
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        if (worker.entry_.draining_ && !worker.unlisted_)
        {
            evacuate(worker,
                     now - worker.draining_since_ > gradual_evacuation_time,
                     now);
        }
    }
}

void cell::evacuate(vm_id const& vm, time_point now)
{
    for (auto const& name : workers_on(vm))
    {
        evacuate(workers_.at(name), false, now);
    }
}

void cell::evacuate(worker_state& worker, bool all, time_point now)
{
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const at = find(task);
        if (!at || !at.shape_->long_running_ ||
            at.task_->phase_ != task_phase::running)
        {
            continue;
        }
        bool const may_leave =
            may_end(at, now) || (all && !has_pending_stop(at));
        if (may_leave)
        {
            log_event("task_evacuated", describe(task),
                      worker.entry_.id_ + " unavailable_others=" +
                          std::to_string(count_unavailable_others(at, now)) +
                          " max_unavailable=" +
                          std::to_string(max_unavailable(*at.shape_)) +
                          " draining=" + (worker.entry_.draining_ ? "1" : "0"));
            at.task_->phase_ = task_phase::stopping;
            at.task_->unavailable_since_ = now;
        }
    }
}

} // namespace cuminfold
