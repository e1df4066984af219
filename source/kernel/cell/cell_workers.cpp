#include "kernel/cell/cell.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// A worker's clock may run this much slower than ours.
constexpr double slowest_clock = 0.98;
/// Added to a computed lapse for the time that a worker needs to act on it.
constexpr duration lapse_margin = std::chrono::milliseconds{150};
/// A draining worker's lasting tasks leave one by one for this long, then all.
constexpr duration evacuation_time = std::chrono::milliseconds{1200};
/// A run that takes longer than this share of its expected time, and as much
/// longer as the time below, is asked for while a renewal still waits: that
/// renewal may be lost.
constexpr std::int64_t overdue_share_percent = 150;
constexpr duration overdue_time = std::chrono::milliseconds{200};
/// A worker that did not answer is asked again after this.
constexpr duration silent_gap = std::chrono::milliseconds{150};

} // namespace

cell::cell(cell_options options, time_point now)
    : options_(options), began_(now), confirmed_(now)
{
}

void cell::confirmed(time_point sent)
{
    confirmed_ = std::max(confirmed_, sent);
}

bool cell::may_order(time_point now) const
{
    return now - confirmed_ < options_.confirmation_limit_;
}

void cell::set_config(fleet_config const& config)
{
    config_ = config;
    for (auto& item : jobs_)
    {
        auto const* const route = config_.find_name(item.second.route_);
        if (route != nullptr)
        {
            item.second.pool_ = route->pool_;
        }
    }
    placement_due_ = true;
}

void cell::worker_listed(worker_registration entry, time_point now)
{
    auto& worker = ensure_worker(entry.id_, now);
    worker.gone_ = worker.life_over_;
    worker.reserved_ = reserved_.count(entry.vm_) != 0;
    auto& members = pool_workers_[entry.pool_];
    if (std::find(members.begin(), members.end(), entry.id_) == members.end())
    {
        members.push_back(entry.id_);
    }
    if (entry.draining_ && !worker.entry_.draining_)
    {
        note("worker_draining", entry.id_, "entry");
        worker.draining_since_ = now;
    }
    worker.entry_ = std::move(entry);
    placement_due_ = true;
}

void cell::vm_listed(vm_id const& vm, std::string const& worker,
                     time_point asked, time_point now)
{
    for (auto& item : workers_)
    {
        auto& other = item.second;
        // One that was seen only after the list was asked for may be newer.
        bool const older = item.first != worker && !worker.empty() &&
                           other.entry_.vm_ == vm && other.first_seen_ < asked;
        if (older && !other.life_over_)
        {
            end_life(other, "vm_has_new_life", now);
        }
    }
}

void cell::worker_unlisted(std::string const& name, time_point now)
{
    auto const found = workers_.find(name);
    if (found == workers_.end())
    {
        return;
    }
    auto& worker = found->second;
    worker.gone_ = true;
    auto& members = pool_workers_[worker.entry_.pool_];
    members.erase(std::remove(members.begin(), members.end(), name),
                  members.end());
    note("worker_gone", name, "tasks=" + std::to_string(worker.tasks_.size()));
    if (worker.tasks_.empty() && worker.lapses_ <= now)
    {
        workers_.erase(found);
    }
}

void cell::reserve(vm_id const& vm, bool reserved)
{
    if (reserved)
    {
        reserved_.insert(vm);
    }
    else
    {
        reserved_.erase(vm);
    }
    for (auto& item : workers_)
    {
        if (item.second.entry_.vm_ == vm)
        {
            item.second.reserved_ = reserved;
        }
    }
    placement_due_ = true;
}

std::size_t cell::tasks_on(vm_id const& vm) const
{
    std::size_t count = 0;
    for (auto const& item : workers_)
    {
        if (item.second.entry_.vm_ == vm)
        {
            count += item.second.tasks_.size() + item.second.strays_.size();
        }
    }
    return count;
}

std::size_t cell::lasting_tasks_on(vm_id const& vm) const
{
    std::size_t count = 0;
    for (auto const& item : workers_)
    {
        if (item.second.entry_.vm_ != vm)
        {
            continue;
        }
        for (auto const& task : item.second.tasks_)
        {
            auto const job = jobs_.find(task.job_.text());
            count += job != jobs_.end() && job->second.request_ &&
                             job->second.request_->steps_[task.step_].lasting_
                         ? 1
                         : 0;
        }
    }
    return count;
}

bool cell::has_new_life(vm_id const& vm, time_point since) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& item)
                       {
                           return item.second.entry_.vm_ == vm &&
                                  !item.second.gone_ &&
                                  item.second.first_seen_ > since;
                       });
}

void cell::read_clock(worker_state& worker, worker_clock clock, time_point now)
{
    if (clock > worker.clock_)
    {
        worker.clock_ = clock;
        worker.clock_read_ = now;
    }
    worker.answered_ = now;
}

worker_clock cell::lease_for(worker_state& worker, time_point now)
{
    auto const ahead = std::chrono::duration_cast<duration>(
        now - worker.clock_read_ + options_.lease_);
    auto const until =
        worker.clock_ + std::chrono::duration_cast<worker_clock>(ahead);
    auto const lapse =
        worker.clock_read_ +
        std::chrono::duration_cast<duration>(ahead / slowest_clock) +
        lapse_margin;
    worker.lapses_ = std::max(worker.lapses_, lapse);
    return until;
}

void cell::end_life(worker_state& worker, char const* why, time_point now)
{
    note("worker_life_ended", worker.entry_.id_, why);
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const at = find(task);
        if (at)
        {
            release(task, at, now);
            if (!at.job_->ended())
            {
                mark(*at.job_);
            }
        }
    }
    worker.tasks_.clear();
    worker.strays_.clear();
    worker.gone_ = true;
    worker.life_over_ = true;
    worker.lapses_ = now;
}

void cell::start_answered(std::string const& name, task_id const& task,
                          std::uint32_t run, call_outcome outcome,
                          time_point now)
{
    auto const found = workers_.find(name);
    auto const at = find(task);
    bool const current = found != workers_.end() && at &&
                         at.task_->worker_ == name && at.task_->run_ == run &&
                         at.task_->phase_ == task_phase::starting;
    if (outcome == call_outcome::other_life && found != workers_.end())
    {
        end_life(found->second, "another_life_answered", now);
        return;
    }
    if (!current)
    {
        return;
    }
    auto& worker = found->second;
    switch (outcome)
    {
    case call_outcome::accepted:
        at.task_->phase_ = task_phase::running;
        at.task_->started_ = now;
        at.task_->advanced_ = now;
        return;
    case call_outcome::no_answer:
        at.task_->phase_ = task_phase::unsettled;
        worker.next_renewal_ = now;
        note("start_unanswered", describe(task), name);
        return;
    case call_outcome::fenced:
    case call_outcome::run_too_old:
    case call_outcome::too_late:
    case call_outcome::no_room:
    case call_outcome::ticket_refused:
    case call_outcome::not_run:
        strike(worker, now);
        break;
    case call_outcome::not_sent:
        ++worker.silent_renewals_;
        worker.next_renewal_ = now;
        break;
    case call_outcome::other_life:
        break;
    }
    note("start_refused", describe(task),
         "outcome=" + std::to_string(static_cast<int>(outcome)));
    release(task, at, now);
    mark(*at.job_);
}

void cell::stop_answered(std::string const& name, task_id const& task,
                         std::uint32_t run, call_outcome outcome,
                         time_point now)
{
    auto const found = workers_.find(name);
    if (found == workers_.end())
    {
        return;
    }
    if (outcome == call_outcome::other_life)
    {
        end_life(found->second, "another_life_answered", now);
        return;
    }
    auto const at = find(task);
    if (at && outcome == call_outcome::accepted && at.task_->worker_ == name &&
        at.task_->run_ == run && !at.task_->stop_accepted_)
    {
        at.task_->stop_accepted_ = true;
        at.task_->stop_accepted_at_ = now;
        found->second.next_renewal_ = now;
    }
}

bool cell::needs_renewal(worker_state const& worker) const
{
    if (worker.gone_ && worker.tasks_.empty())
    {
        return false;
    }
    return !worker.fenced_ || !worker.tasks_.empty() ||
           !worker.strays_.empty() || worker.recorded_ > worker.acknowledged_;
}

void cell::look_for_overdue(worker_state& worker, time_point now)
{
    if (worker.looked_ || now - worker.renewal_sent_ < overdue_time)
    {
        return;
    }
    bool const overdue = std::any_of(
        worker.tasks_.begin(), worker.tasks_.end(),
        [&](task_id const& task)
        {
            auto const at = find(task);
            return at && at.task_->phase_ == task_phase::running &&
                   !at.shape_->lasting_ &&
                   now - at.task_->started_ >
                       run_times_.expect(at.job_->route_, *at.shape_) *
                               overdue_share_percent / 100 +
                           overdue_time;
        });
    if (overdue)
    {
        worker.looked_ = true;
        renew_worker order;
        order.worker_ = worker.entry_.id_;
        order.address_ = worker.entry_.address_;
        order.acknowledge_ = worker.recorded_;
        order.extra_ = true;
        actions_.emplace_back(std::move(order));
    }
}

void cell::renew_due(time_point now)
{
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        if (worker.entry_.address_.empty() || now < worker.next_renewal_ ||
            !needs_renewal(worker) || !may_order(now))
        {
            continue;
        }
        if (worker.renewal_out_)
        {
            look_for_overdue(worker, now);
            continue;
        }
        renew_worker order;
        order.worker_ = item.first;
        order.address_ = worker.entry_.address_;
        order.acknowledge_ = worker.recorded_;
        bool const settled = std::none_of(
            worker.tasks_.begin(), worker.tasks_.end(),
            [&](task_id const& task)
            {
                auto const at = find(task);
                return at && (at.task_->phase_ == task_phase::unsettled ||
                              at.task_->phase_ == task_phase::stopping);
            });
        if (worker.fenced_)
        {
            // A renewal without an answer may have been carried out: a silent
            // worker is only asked, so that its leases end.
            if (worker.silent_renewals_ == 0)
            {
                order.lease_until_ = lease_for(worker, now);
                order.wait_ = settled && !worker.tasks_.empty()
                                  ? options_.renewal_wait_
                                  : duration{0};
            }
        }
        worker.renewal_out_ = true;
        worker.looked_ = false;
        worker.renewal_sent_ = now;
        actions_.emplace_back(std::move(order));
    }
}

void cell::renewal_answered(std::string const& name, bool extra,
                            call_outcome outcome, worker_report const& report,
                            time_point sent, time_point now)
{
    auto const found = workers_.find(name);
    if (found == workers_.end() || (extra && outcome != call_outcome::accepted))
    {
        return;
    }
    auto& worker = found->second;
    if (!extra)
    {
        worker.renewal_out_ = false;
    }
    if (outcome == call_outcome::other_life)
    {
        end_life(worker, "another_life_answered", now);
        return;
    }
    if (outcome != call_outcome::accepted)
    {
        if (++worker.silent_renewals_ == 1)
        {
            note("worker_silent", name, "renewal");
        }
        // The answer alone may have been lost: the first repeat comes at once.
        worker.next_renewal_ =
            now + (worker.silent_renewals_ == 1 ? duration{0} : silent_gap);
        return;
    }
    if (worker.silent_renewals_ > 0)
    {
        worker.silent_renewals_ = 0;
        note("worker_answers_again", name, "renewal");
        placement_due_ = true;
    }
    read_clock(worker, report.clock_, now);
    worker.acknowledged_ = std::max(worker.acknowledged_, worker.recorded_);
    if (!worker.fenced_)
    {
        worker.fenced_ = true;
        // Earlier owners can give it no more leases.
        worker.lapses_ = now +
                         std::chrono::duration_cast<duration>(
                             options_.longest_lease_ / slowest_clock) +
                         lapse_margin;
        placement_due_ = true;
    }
    bool ended = false;
    for (auto const& end : report.ended_)
    {
        if (end.number_ > worker.read_)
        {
            worker.read_ = end.number_;
            ended = true;
            take_end(worker, end, now);
        }
    }
    if (ended)
    {
        ends_read_.insert(name);
    }
    compare(worker, report, sent, now);
    if (extra)
    {
        return;
    }
    bool const settled = worker.strays_.empty();
    worker.next_renewal_ =
        now + (settled ? options_.renewal_gap_ : options_.repeat_gap_);
}

void cell::compare(worker_state& worker, worker_report const& report,
                   time_point asked, time_point now)
{
    std::map<task_id, running_report const*> listed;
    worker.strays_.clear();
    for (auto const& running : report.running_)
    {
        auto const at = find(running.task_);
        bool const ours = at && at.task_->worker_ == worker.entry_.id_ &&
                          at.task_->run_ == running.run_;
        if (ours)
        {
            listed[running.task_] = &running;
        }
        else
        {
            worker.strays_[running.task_] = running.run_;
        }
    }
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const found = listed.find(task);
        compare_task(worker, task,
                     found == listed.end() ? nullptr : found->second, asked,
                     now);
    }
}

void cell::compare_task(worker_state& worker, task_id const& task,
                        running_report const* report, time_point asked,
                        time_point now)
{
    auto const at = find(task);
    if (!at)
    {
        worker.tasks_.erase(task);
        return;
    }
    auto& state = *at.task_;
    if (report != nullptr)
    {
        bool const adopt = state.phase_ == task_phase::starting ||
                           (state.phase_ == task_phase::unsettled &&
                            state.stop_sent_ == time_point{});
        if (adopt)
        {
            state.phase_ = task_phase::running;
            state.started_ = now;
            state.advanced_ = now;
        }
        if (state.percent_ != report->percent_)
        {
            state.percent_ = report->percent_;
            state.advanced_ = now;
        }
        constexpr std::uint32_t at_work = 100;
        if (at.shape_->lasting_ && state.phase_ == task_phase::running)
        {
            bool const works = report->percent_ >= at_work;
            state.away_since_ = works ? time_point{}
                                : state.away_since_ == time_point{}
                                    ? now
                                    : state.away_since_;
        }
        state.figure_ = report->figure_;
        if (at.shape_->checkpointing_ && !report->checkpoint_.empty())
        {
            state.checkpoint_ = report->checkpoint_;
        }
        return;
    }
    switch (state.phase_)
    {
    case task_phase::running:
        if (asked > state.started_)
        {
            note("run_vanished", describe(task), worker.entry_.id_);
            release(task, at, now);
            mark(*at.job_);
        }
        return;
    case task_phase::unsettled:
    case task_phase::stopping:
        // An order of an earlier epoch is refused from now on; one of ours
        // is, once its stop was accepted.
        if (!state.own_start_ ||
            (state.stop_accepted_ && asked > state.stop_accepted_at_))
        {
            release(task, at, now);
            mark(*at.job_);
        }
        else if (state.stop_sent_ == time_point{})
        {
            stop(worker, task, state.run_, "unanswered_start");
            state.stop_sent_ = now;
        }
        return;
    case task_phase::waiting:
    case task_phase::placed:
    case task_phase::starting:
    case task_phase::done:
        return;
    }
}

void cell::stop(worker_state& worker, task_id const& task, std::uint32_t run,
                char const* why)
{
    stop_run order;
    order.worker_ = worker.entry_.id_;
    order.address_ = worker.entry_.address_;
    order.task_ = task;
    order.run_ = run;
    order.why_ = why;
    actions_.emplace_back(std::move(order));
}

void cell::repeat_stops(time_point now)
{
    if (!may_order(now))
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
        auto const tasks = worker.tasks_;
        for (auto const& task : tasks)
        {
            auto const at = find(task);
            if (!at)
            {
                continue;
            }
            auto& state = *at.task_;
            bool const ended = at.job_->ended() && !at.job_->dirty_ &&
                               at.job_->stored_standing_ == at.job_->standing_;
            if (ended && state.phase_ == task_phase::placed)
            {
                release(task, at, now);
                continue;
            }
            bool const wanted = ended || state.phase_ == task_phase::stopping ||
                                (state.phase_ == task_phase::unsettled &&
                                 state.stop_sent_ != time_point{});
            if (wanted && !state.stop_accepted_ &&
                now - state.stop_sent_ >= options_.repeat_gap_)
            {
                if (state.phase_ == task_phase::running)
                {
                    state.phase_ = task_phase::stopping;
                }
                state.stop_sent_ = now;
                stop(worker, task, state.run_,
                     ended ? "job_ended" : "not_wanted_there");
            }
        }
        if (now - worker.strays_stopped_ >= options_.repeat_gap_)
        {
            worker.strays_stopped_ = now;
            for (auto const& stray : worker.strays_)
            {
                stop(worker, stray.first, stray.second, "stray_run");
            }
        }
    }
}

void cell::drop_lapsed(time_point now)
{
    for (auto place = workers_.begin(); place != workers_.end();)
    {
        auto& worker = place->second;
        bool const silent = worker.silent_renewals_ > 0 ||
                            worker.entry_.address_.empty() || worker.gone_;
        if (silent && now > worker.lapses_ && !worker.tasks_.empty() &&
            worker.answered_ <= worker.lapses_)
        {
            end_life(worker, "lease_lapsed", now);
        }
        bool const finished = worker.gone_ && worker.tasks_.empty() &&
                              now > worker.lapses_ && !worker.renewal_out_;
        place = finished ? workers_.erase(place) : std::next(place);
    }
}

void cell::stop_stalled(time_point now)
{
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        auto const tasks = worker.tasks_;
        for (auto const& task : tasks)
        {
            auto const at = find(task);
            if (!at || at.task_->phase_ != task_phase::running ||
                at.shape_->lasting_ || at.shape_->gang_)
            {
                continue;
            }
            auto const limit =
                std::max(options_.stall_floor_,
                         std::chrono::duration_cast<duration>(
                             run_times_.expect(at.job_->route_, *at.shape_) *
                             options_.stall_share_));
            bool const stalled = worker.answered_ - at.task_->advanced_ > limit;
            if (stalled)
            {
                note("run_stalled", describe(task), item.first);
                strike(worker, now);
                at.task_->phase_ = task_phase::stopping;
            }
        }
    }
}

bool cell::is_at_work(task_state const& task) const
{
    auto const worker = workers_.find(task.worker_);
    return task.phase_ == task_phase::running &&
           task.away_since_ == time_point{} && worker != workers_.end() &&
           worker->second.silent_renewals_ == 0;
}

void cell::evacuate(vm_id const& vm, time_point now)
{
    for (auto& item : workers_)
    {
        if (item.second.entry_.vm_ == vm)
        {
            evacuate(item.second, false, now);
        }
    }
}

void cell::evacuate(worker_state& worker, bool all, time_point now)
{
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const at = find(task);
        if (!at || !at.shape_->lasting_ ||
            at.task_->phase_ != task_phase::running)
        {
            continue;
        }
        std::uint32_t away = 0;
        for (auto const& other : at.step_->tasks_)
        {
            away += is_at_work(other) ? 0 : 1;
        }
        bool const free = all || away < std::max<std::uint32_t>(
                                            1, at.shape_->max_unavailable_);
        if (free)
        {
            note("task_evacuated", describe(task), worker.entry_.id_);
            at.task_->phase_ = task_phase::stopping;
            at.task_->away_since_ = now;
        }
    }
}

void cell::leave_draining(time_point now)
{
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        if (worker.entry_.draining_ && !worker.gone_)
        {
            evacuate(worker, now - worker.draining_since_ > evacuation_time,
                     now);
        }
    }
}

void cell::tick(time_point now, calendar_time calendar)
{
    for (auto& item : jobs_)
    {
        if (item.second.request_ && item.second.request_->occurrences_ > 0 &&
            !item.second.ended())
        {
            open_occurrences(item.second, calendar);
        }
    }
    withdraw_unsent(now);
    drop_lapsed(now);
    stop_stalled(now);
    leave_draining(now);
    repeat_stops(now);
    if (placement_due_)
    {
        placement_due_ = false;
        place(now);
    }
    renew_due(now);
    forget_ended(now);
}

std::vector<cell_action> cell::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace cuminfold
