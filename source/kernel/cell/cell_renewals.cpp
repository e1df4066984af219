#include "kernel/cell/cell.hpp"

#include "kernel/cell/clock_check.hpp"
#include "kernel/cell/task_isolation.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// Added to the computed end of a lease for the time that the worker needs to
/// stop its runs.
constexpr duration lapse_margin = std::chrono::milliseconds{150};
/// A run is overdue after this percentage of its expected run time plus
/// `overdue_margin`. Its worker is then queried although a renewal is
/// outstanding, since that renewal may be lost.
constexpr std::int64_t overdue_percent = 150;
/// Also the minimum age of the outstanding renewal before such a query.
constexpr duration overdue_margin = std::chrono::milliseconds{200};
/// Retry interval for a worker that does not answer.
constexpr duration silent_retry_interval = std::chrono::milliseconds{150};
/// The same for a worker without tasks: only its return has to be detected.
constexpr duration idle_silent_retry_interval = std::chrono::milliseconds{400};

/// Makes an order that extends no lease: it queries the worker for its report
/// and acknowledges the ends that were recorded.
renew_worker make_query(worker_state const& worker)
{
    renew_worker order;
    order.worker_ = worker.entry_.id_;
    order.address_ = worker.entry_.address_;
    order.token_offset_ = worker.token_offset_;
    // Another incarnation may answer after a request without an answer. It
    // numbers its ends anew, so that nothing is acknowledged until one does.
    bool const is_known = worker.fenced_ && worker.unanswered_renewals_ == 0;
    if (is_known && worker.recorded_ > worker.acknowledged_)
    {
        order.acknowledge_ = worker.recorded_;
    }
    return order;
}

} // namespace

worker_clock cell::lease_for(worker_state& worker, time_point now)
{
    // By the least that the clock may show, so that no lease is longer than
    // `lease_`, however old the reading is: a new owner counts on that.
    auto const until =
        worker.clock_ +
        std::chrono::duration_cast<worker_clock>(
            (now - worker.clock_read_at_) * min_clock_rate + options_.lease_);
    auto const lapse =
        now +
        std::chrono::duration_cast<duration>(options_.lease_ / min_clock_rate) +
        lapse_margin;
    worker.lease_expires_at_ = std::max(worker.lease_expires_at_, lapse);
    worker.leased_until_ = std::max(worker.leased_until_, until);
    worker.lease_requested_at_ = now;
    hold_orphaned_tasks(worker);
    return until;
}

void cell::hold_orphaned_tasks(worker_state const& worker)
{
    for (auto const& orphan : worker.orphaned_runs_)
    {
        update_orphan_end(orphan.first);
    }
}

void cell::update_orphan_end(task_id const& task)
{
    auto const at = find(task);
    if (!at)
    {
        return;
    }
    // Several workers may have an orphaned run of the task.
    at.task_->orphan_ends_by_ = {};
    for (auto const& item : workers_)
    {
        if (item.second.orphaned_runs_.count(task) != 0)
        {
            at.task_->orphan_ends_by_ =
                std::max(at.task_->orphan_ends_by_, runs_end_by(item.second));
        }
    }
    placement_due_ = true;
}

std::string cell::describe_age(time_point at, time_point now)
{
    return at == time_point{} ? "never" : in_milliseconds(now - at);
}

std::string cell::describe_lease(worker_state const& worker, time_point now)
{
    return " clock=" + std::to_string(worker.clock_.count()) +
           " leased_until=" + std::to_string(worker.leased_until_.count()) +
           " lease_ends_in=" + in_milliseconds(worker.lease_expires_at_ - now) +
           " lease_requested_ago=" +
           describe_age(worker.lease_requested_at_, now);
}

time_point cell::runs_end_by(worker_state const& worker) const
{
    if (worker.answered_ <= worker.lease_expires_at_)
    {
        return worker.lease_expires_at_;
    }
    return worker.answered_ +
           std::chrono::duration_cast<duration>(
               longest_remaining_lease(worker) / min_clock_rate) +
           lapse_margin;
}

time_point cell::longest_lease_end(time_point granted) const
{
    return granted +
           std::chrono::duration_cast<duration>(options_.longest_lease_ /
                                                min_clock_rate) +
           lapse_margin;
}

duration cell::longest_remaining_lease(worker_state const& worker) const
{
    auto const until =
        std::max(worker.leased_until_, worker.foreign_lease_until_);
    // An earlier owner with the same settings granted no lease longer than
    // `lease_` by the worker's clock.
    return std::max(options_.lease_, std::chrono::duration_cast<duration>(
                                         until - worker.clock_));
}

bool cell::needs_renewal(worker_state const& worker, time_point now) const
{
    if (worker.unlisted_ && worker.tasks_.empty())
    {
        return false;
    }
    return !worker.fenced_ || !worker.tasks_.empty() ||
           !worker.orphaned_runs_.empty() ||
           worker.recorded_ > worker.acknowledged_ ||
           worker.ends_read_to_ < worker.end_due_ ||
           worker.unanswered_renewals_ > 0 ||
           (worker.clock_read_at_ != time_point{} &&
            now - worker.clock_read_at_ > options_.max_clock_age_);
}

bool cell::is_overdue(task_id const& task, time_point now)
{
    auto const at = find(task);
    return at && at.task_->phase_ == task_phase::running &&
           !at.shape_->long_running_ &&
           now - at.task_->started_ >
               at.step_->run_time_ * overdue_percent / 100 + overdue_margin;
}

void cell::query_overdue_workers(time_point now)
{
    if (!can_send_orders(now))
    {
        return;
    }
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        bool const may_query = worker.renewal_in_flight_ &&
                               !worker.extra_renewal_sent_ &&
                               now - worker.renewal_sent_ >= overdue_margin &&
                               !worker.entry_.address_.empty();
        if (may_query && std::any_of(worker.tasks_.begin(), worker.tasks_.end(),
                                     [&](task_id const& task)
                                     { return is_overdue(task, now); }))
        {
            worker.extra_renewal_sent_ = true;
            auto order = make_query(worker);
            order.extra_ = true;
            actions_.emplace_back(std::move(order));
        }
    }
}

duration cell::renewal_interval() const
{
    auto const busy = std::count_if(workers_.begin(), workers_.end(),
                                    [](auto const& item)
                                    { return !item.second.tasks_.empty(); });
    constexpr duration second = std::chrono::seconds{1};
    return std::max(options_.renewal_interval_,
                    second * busy / options_.renewal_rate_);
}

bool cell::has_unsettled_runs(worker_state const& worker)
{
    return std::any_of(worker.tasks_.begin(), worker.tasks_.end(),
                       [&](task_id const& task)
                       {
                           auto const at = find(task);
                           return at &&
                                  (at.task_->phase_ == task_phase::unresolved ||
                                   at.task_->phase_ == task_phase::stopping ||
                                   at.task_->missing_since_ != time_point{});
                       }) ||
           std::any_of(worker.orphaned_runs_.begin(),
                       worker.orphaned_runs_.end(),
                       [](auto const& orphan) {
                           return orphan.second.missing_since_ != time_point{};
                       });
}

void cell::send_due_renewals(time_point now)
{
    if (!can_send_orders(now))
    {
        return;
    }
    renewal_interval_ = renewal_interval();
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        if (worker.renewal_in_flight_ || now < worker.next_renewal_ ||
            worker.entry_.address_.empty() || !needs_renewal(worker, now))
        {
            continue;
        }
        auto order = make_query(worker);
        bool const has_runs =
            !worker.tasks_.empty() || !worker.orphaned_runs_.empty();
        // An unanswered renewal may still have extended the leases. A silent
        // worker is only queried, so that its leases expire.
        if (worker.fenced_ && worker.unanswered_renewals_ == 0 && has_runs)
        {
            order.lease_until_ = lease_for(worker, now);
            bool const can_wait =
                !worker.tasks_.empty() && !has_unsettled_runs(worker);
            order.wait_ = can_wait ? options_.renewal_wait_ : duration{0};
        }
        worker.renewal_in_flight_ = true;
        worker.acknowledging_ = order.acknowledge_;
        worker.extra_renewal_sent_ = false;
        worker.renewal_sent_ = now;
        actions_.emplace_back(std::move(order));
    }
}

void cell::on_renewal_response(renew_worker const& order, call_outcome outcome,
                               worker_report const& report, time_point sent,
                               time_point now)
{
    auto const& name = order.worker_;
    bool const extra = order.extra_;
    auto const found = workers_.find(name);
    if (found == workers_.end() || (extra && outcome != call_outcome::accepted))
    {
        return;
    }
    auto& worker = found->second;
    // Another incarnation may have given the answer to an earlier request.
    if (order.token_offset_ != worker.token_offset_)
    {
        return;
    }
    if (!extra)
    {
        worker.renewal_in_flight_ = false;
    }
    if (outcome == call_outcome::incarnation_mismatch)
    {
        end_incarnation(worker, "another_life_answered", now);
        return;
    }
    if (outcome != call_outcome::accepted)
    {
        count_unanswered(worker, now);
        // Only the answer may have been lost: the first retry is immediate.
        worker.next_renewal_ =
            now + (worker.unanswered_renewals_ == 1 ? duration{0}
                   : worker.tasks_.empty()          ? idle_silent_retry_interval
                                                    : silent_retry_interval);
        return;
    }
    bool const is_restarted =
        report.incarnation_start_ != calendar_time{} &&
        report.incarnation_start_ != worker.incarnation_start_;
    if (is_restarted && worker.fenced_)
    {
        query_incarnation(worker, "renewal", now);
        return;
    }
    if (worker.fenced_ && report.clock_ != worker_clock{0})
    {
        check_clock(worker, "renewal", order.token_offset_,
                    {outcome, report.clock_}, sent, now);
    }
    if (worker.is_unconfirmed_ && order.token_offset_ != worker.token_offset_)
    {
        // Queried because of its clock.
        return;
    }
    if (is_restarted)
    {
        begin_incarnation(worker, report, now);
    }
    if (worker.unanswered_renewals_ > 0)
    {
        worker.unanswered_renewals_ = 0;
        worker.kept_tasks_ = 0;
        log_event("worker_answers_again", name,
                  "renewal born=" + describe(report.incarnation_start_) +
                      " ends_listed=" + std::to_string(report.ended_.size()) +
                      " ends_read=" + std::to_string(worker.read_) +
                      " ends_recorded=" + std::to_string(worker.recorded_) +
                      " answer_clock=" + std::to_string(report.clock_.count()) +
                      describe_lease(worker, now));
        placement_due_ = true;
    }
    forget_losses(worker);
    forgive_lapsed_runs(worker);
    if (!worker.fenced_)
    {
        // The clock of a VM that was suspended is behind the known one.
        worker.clock_ = worker_clock{0};
    }
    read_clock(worker, report.clock_, now);
    worker.answered_ = now;
    if (!extra)
    {
        worker.acknowledged_ =
            std::max(worker.acknowledged_, worker.acknowledging_);
    }
    if (!worker.fenced_)
    {
        worker.fenced_ = true;
        worker.is_unconfirmed_ = false;
        worker.predecessor_drained_ = false;
        // From now on the worker refuses leases of earlier owners and those by
        // another incarnation's clock; the last one that it accepted ends by
        // this time.
        worker.lease_expires_at_ =
            now +
            std::chrono::duration_cast<duration>(
                longest_remaining_lease(worker) / min_clock_rate) +
            lapse_margin;
        placement_due_ = true;
        end_earlier_incarnations(worker, now);
    }
    bool ended = false;
    for (auto const& end : report.ended_)
    {
        if (end.number_ > worker.read_)
        {
            worker.read_ = end.number_;
            ended = true;
            handle_end(worker, end, now);
        }
    }
    if (ended)
    {
        workers_with_new_ends_.insert(name);
    }
    // The ends above the acknowledged one are listed in their order, so that
    // none is left out if there is none.
    bool const lists_all_ends =
        std::none_of(report.ended_.begin(), report.ended_.end(),
                     [&](end_report const& end)
                     { return end.number_ > order.acknowledge_; });
    if (lists_all_ends)
    {
        worker.ends_read_to_ = std::max(worker.ends_read_to_, sent);
    }
    reconcile(worker, report, lists_all_ends, sent, now);
    if (extra)
    {
        return;
    }
    bool const no_orphaned_runs = worker.orphaned_runs_.empty();
    worker.next_renewal_ =
        now + (no_orphaned_runs
                   ? std::max(renewal_interval_, options_.renewal_interval_)
                   : options_.stop_retry_interval_);
}

bool cell::is_gone(worker_state const& worker, time_point& missing_since,
                   bool lists_all_ends, time_point now)
{
    if (missing_since == time_point{})
    {
        missing_since = now;
    }
    return lists_all_ends || worker.ends_read_to_ >= missing_since;
}

void cell::reconcile_orphans(worker_state& worker,
                             std::map<task_id, orphaned_run> const& previous,
                             bool lists_all_ends, time_point now)
{
    for (auto const& each : previous)
    {
        if (worker.orphaned_runs_.count(each.first) != 0)
        {
            continue;
        }
        auto orphan = each.second;
        bool const gone =
            is_gone(worker, orphan.missing_since_, lists_all_ends, now);
        if (gone)
        {
            update_orphan_end(each.first);
        }
        else
        {
            worker.orphaned_runs_.emplace(each.first, orphan);
        }
    }
}

void cell::reconcile(worker_state& worker, worker_report const& report,
                     bool lists_all_ends, time_point asked, time_point now)
{
    std::map<task_id, running_report const*> reported;
    auto const previous = std::exchange(worker.orphaned_runs_, {});
    for (auto const& running : report.running_)
    {
        auto const at = find(running.task_);
        bool const ours = at && at.task_->worker_ == worker.entry_.id_ &&
                          at.task_->run_ == running.run_;
        if (ours)
        {
            reported[running.task_] = &running;
        }
        else
        {
            worker.orphaned_runs_[running.task_] = {running.run_, {}};
        }
    }
    reconcile_orphans(worker, previous, lists_all_ends, now);
    hold_orphaned_tasks(worker);
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const found = reported.find(task);
        reconcile_task(worker, task,
                       found == reported.end() ? nullptr : found->second,
                       lists_all_ends, asked, now);
    }
}

bool cell::must_adopt(task_location const& at, worker_state const& worker,
                      time_point now) const
{
    auto const& task = *at.task_;
    switch (task.phase_)
    {
    case task_phase::starting:
        return true;
    case task_phase::unresolved:
        // A long-running task whose unanswered start was carried out late does
        // its work: stopping it now would count against `max_unavailable_`.
        return task.stop_sent_ == time_point{} ||
               (at.shape_->long_running_ && !task.stop_accepted_);
    case task_phase::stopping:
        return !task.stop_accepted_ && !at.job_->ended() &&
               !may_be_evacuated(at, worker, now);
    case task_phase::waiting:
    case task_phase::placed:
    case task_phase::running:
    case task_phase::done:
        return false;
    }
    return false;
}

void cell::adopt(task_state& task, time_point now)
{
    // The run may still be ended by a stop that the worker accepted from the
    // previous owner, or by one of this owner that got no answer.
    auto const last_stop_effect =
        task.stop_sent_ != time_point{}
            ? task.stop_sent_ + options_.max_late_call_
        : task.own_start_ ? now
                          : now + options_.stop_grace_;
    task.established_at_ = std::max(task.established_at_, last_stop_effect);
    task.phase_ = task_phase::running;
    task.started_ = now;
    task.progressed_at_ = now;
    task.stop_sent_ = {};
}

void cell::reconcile_task(worker_state& worker, task_id const& task,
                          running_report const* report, bool lists_all_ends,
                          time_point asked, time_point now)
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
        at.job_->begun_ = true;
        state.begun_runs_.add(state.run_);
        confirm_run(task, at);
        state.reported_at_ = std::max(state.reported_at_, asked);
        state.missing_since_ = {};
        if (must_adopt(at, worker, now))
        {
            if (state.phase_ == task_phase::stopping)
            {
                log_event("evacuation_withdrawn", describe(task),
                          worker.entry_.id_);
            }
            adopt(state, now);
        }
        if (state.percent_ != report->percent_)
        {
            state.percent_ = report->percent_;
            state.progressed_at_ = now;
        }
        constexpr std::uint32_t working_percent = 100;
        if (at.shape_->long_running_ && state.phase_ == task_phase::running)
        {
            bool const is_working = report->percent_ >= working_percent;
            state.unavailable_since_ =
                is_working ? time_point{}
                : state.unavailable_since_ == time_point{}
                    ? now
                    : state.unavailable_since_;
        }
        if (at.shape_->checkpointing_ && !report->checkpoint_.empty())
        {
            state.checkpoint_ = report->checkpoint_;
        }
        if (!may_have_crashed(state, at.shape_->long_running_, now))
        {
            end_isolation(worker, state);
            clear_crashes(task, at);
        }
        return;
    }
    switch (state.phase_)
    {
    case task_phase::running:
        if (asked > state.started_ &&
            is_gone(worker, state.missing_since_, lists_all_ends, now))
        {
            log_event("run_vanished", describe(task),
                      worker.entry_.id_ + " run=" + std::to_string(state.run_) +
                          " ends_read=" + std::to_string(worker.read_) +
                          " ends_recorded=" + std::to_string(worker.recorded_));
            release(task, at, now);
            mark_dirty(*at.job_, task);
        }
        return;
    case task_phase::unresolved:
    case task_phase::stopping:
        if (state.start_in_flight_)
        {
            // The worker refuses it, but not if it restarts once more.
            return;
        }
        // The task is not running and cannot start later: the worker refuses
        // starts of an earlier epoch, and a start of this epoch once it has
        // accepted the stop of that run.
        if (!state.own_start_ ||
            (state.stop_accepted_ && asked > state.stop_accepted_at_))
        {
            if (!is_gone(worker, state.missing_since_, lists_all_ends, now))
            {
                return;
            }
            if (state.own_start_ && state.phase_ == task_phase::unresolved)
            {
                update_budget(task, at, &start_budget::on_not_started,
                              state.run_);
            }
            release(task, at, now);
            mark_dirty(*at.job_, task);
        }
        else if (state.stop_sent_ == time_point{} &&
                 may_settle(at, worker, now))
        {
            send_stop(worker, task, state.run_, "unanswered_start");
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

} // namespace cuminfold
