#include "kernel/cell/cell.hpp"

#include "kernel/cell/task_isolation.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// How long a step may wait for the room of a reserved VM if no other worker
/// will have room for it.
constexpr duration max_wait_without_room = std::chrono::seconds{1};
/// The same for a long-running task for which other workers will have room
/// once their finite tasks have ended.
constexpr duration max_wait_for_finite_tasks = std::chrono::seconds{4};
/// A long-running task that is moved is available again within this time.
constexpr duration max_restart_time = std::chrono::seconds{2};

} // namespace

worker_state cell::without_finite_tasks(worker_state const& worker)
{
    worker_state later;
    later.entry_ = worker.entry_;
    later.fenced_ = true;
    if (worker.long_running_tasks_ == 0)
    {
        return later;
    }
    for (auto const& task : worker.tasks_)
    {
        auto const at = find(task);
        if (at && at.shape_->long_running_)
        {
            later.used_ += demand_of(*at.shape_);
            later.best_effort_tasks_ += at.shape_->best_effort_ ? 1 : 0;
            later.tail_bounded_tasks_ +=
                at.shape_->tail_target_ > duration{0} ? 1 : 0;
        }
    }
    return later;
}

bool cell::will_be_available(task_state const& task, time_point now) const
{
    if (is_available(task, now))
    {
        return true;
    }
    auto const worker = workers_.find(task.worker_);
    bool const is_silent =
        worker != workers_.end() && worker->second.unanswered_renewals_ > 0;
    auto const since = is_silent ? worker->second.silent_since_
                       : task.unavailable_since_ != time_point{}
                           ? task.unavailable_since_
                           : now;
    return now - since <= max_restart_time;
}

bool cell::has_room_elsewhere(task_location const& at, vm_id const& vm,
                              time_point now)
{
    auto const& names = pool_workers_[at.job_->pool_];
    return std::any_of(
        names.begin(), names.end(),
        [&](std::string const& name)
        {
            auto const found = workers_.find(name);
            if (found == workers_.end() || found->second.entry_.vm_ == vm ||
                !is_candidate(found->second, false, now))
            {
                return false;
            }
            auto const later = without_finite_tasks(found->second);
            return violated_rule(view_of(later, *at.shape_, *at.step_,
                                         task_isolation::waived, now)) ==
                   nullptr;
        });
}

bool cell::can_be_emptied(vm_id const& vm, time_point now)
{
    auto const can_leave = [&](task_id const& task)
    {
        auto const at = find(task);
        if (!at || !at.shape_->long_running_ || at.job_->ended())
        {
            return true;
        }
        auto const away = std::count_if(
            at.step_->tasks_.begin(), at.step_->tasks_.end(),
            [&](task_state const& other)
            { return &other != at.task_ && !will_be_available(other, now); });
        return away < max_unavailable(*at.shape_) &&
               has_room_elsewhere(at, vm, now);
    };
    auto const& names = workers_on(vm);
    return std::all_of(names.begin(), names.end(),
                       [&](std::string const& name)
                       {
                           auto const& worker = workers_.at(name);
                           return worker.long_running_tasks_ == 0 ||
                                  worker.entry_.draining_ ||
                                  std::all_of(worker.tasks_.begin(),
                                              worker.tasks_.end(), can_leave);
                       });
}

std::vector<step_id> cell::waiting_steps(job_state const& job)
{
    std::vector<step_id> steps;
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k)
    {
        auto const& occurrence = job.occurrences_[k];
        for (std::uint32_t s = 0;
             !occurrence.done_ && s < occurrence.steps_.size(); ++s)
        {
            if (occurrence.steps_[s].waiting_ != 0 &&
                is_ready(job.request_->steps_[s], occurrence))
            {
                steps.push_back({job.request_->id_, k, s});
            }
        }
    }
    return steps;
}

bool cell::has_due_task(step_state const& step, bool long_running,
                        time_point now)
{
    return std::any_of(step.tasks_.begin(), step.tasks_.end(),
                       [&](task_state const& task)
                       {
                           return task.phase_ == task_phase::waiting &&
                                  earliest_start(task) <= now &&
                                  !task.start_budget_.is_spent() &&
                                  !is_held(task, long_running);
                       });
}

std::uint32_t cell::slots_of(worker_state const& worker, job_step const& shape,
                             step_state const& step, std::uint32_t limit,
                             time_point now) const
{
    auto view = view_of(worker, shape, step, task_isolation::none, now);
    view.isolation_.reset();
    view.ignores_reservation_ = true;
    return task_slots(view, limit);
}

void cell::find_contended(step_id const& id, job_state const& job,
                          pool_room& room, std::set<vm_id>& contended,
                          time_point now)
{
    auto const& shape = job.request_->steps_[id.step_];
    auto const& step = job.occurrences_[id.occurrence_].steps_[id.step_];
    if (!has_due_task(step, shape.long_running_, now) || is_held_by_limit(job))
    {
        return;
    }
    auto const needed = shape.gang_ ? shape.tasks_ : 1;
    std::uint64_t slots_later = 0;
    for (std::size_t i = 0; i < room.present_.size() && slots_later < needed;
         ++i)
    {
        auto& later = room.later_[i];
        if (!later)
        {
            later = without_finite_tasks(*room.present_[i]);
        }
        slots_later += slots_of(*later, shape, step, needed, now);
    }
    bool const fits_later = slots_later >= needed;
    if (fits_later && !shape.long_running_)
    {
        return;
    }
    std::uint64_t slots = 0;
    for (auto const* const worker : room.present_)
    {
        slots +=
            slots < needed ? slots_of(*worker, shape, step, needed, now) : 0;
    }
    if (slots >= needed ||
        reservation_waits_.observe(id, now) <
            (fits_later ? max_wait_for_finite_tasks : max_wait_without_room))
    {
        return;
    }
    std::set<vm_id> vms;
    for (auto const* const worker : room.reserved_)
    {
        auto const more =
            slots < needed ? slots_of(*worker, shape, step, needed, now) : 0;
        slots += more;
        if (more > 0)
        {
            vms.insert(worker->entry_.vm_);
        }
    }
    if (slots >= needed)
    {
        contended.insert(vms.begin(), vms.end());
    }
}

std::set<vm_id> cell::contended_vms(std::set<vm_id> const& releasable,
                                    time_point now)
{
    std::map<pool_name, pool_room> rooms;
    for (auto const& vm : releasable)
    {
        for (auto const& name : workers_on(vm))
        {
            auto const& worker = workers_.at(name);
            if (worker.reserved_ && is_candidate(worker, true, now))
            {
                rooms[worker.entry_.pool_].reserved_.push_back(&worker);
            }
        }
    }
    std::set<vm_id> contended;
    reservation_waits_.begin_review();
    for (auto& item : rooms)
    {
        auto& room = item.second;
        find_candidates(item.first, now);
        room.present_.assign(candidates_.begin(), candidates_.end());
        room.later_.resize(room.present_.size());
        for (auto const& open : open_jobs_)
        {
            auto const& job = *open.second;
            if (job.pool_ != item.first || job.ended() || !job.request_)
            {
                continue;
            }
            for (auto const& step : waiting_steps(job))
            {
                find_contended(step, job, room, contended, now);
            }
        }
    }
    return contended;
}

} // namespace cuminfold
