#include "kernel/cell/cell.hpp"

#include "kernel/cell/clock_check.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Minimum time between two reviews of all jobs and tasks. The owner ticks at
/// each answer of a worker, and what a review finds may wait this long.
constexpr duration min_review_interval = std::chrono::milliseconds{50};
/// Minimum time between two placements: each sorts all jobs again.
constexpr duration min_placement_interval = std::chrono::milliseconds{4};
/// Maximum time between two placements. Time alone may let a worker take tasks
/// again, without an event that makes a placement due.
constexpr duration max_placement_interval = std::chrono::milliseconds{250};
/// Minimum time between two scans of all workers for due renewals.
constexpr duration min_renewal_scan_interval = std::chrono::milliseconds{4};
/// Minimum time between two checks for stalled runs; a run counts as stalled
/// only after seconds without progress.
constexpr duration min_stall_check_interval = std::chrono::milliseconds{250};

/// How long a worker is not queried after an order to its VM: usually its
/// successor answers first, and each query to a worker that is gone costs a
/// connection.
constexpr duration order_query_delay = std::chrono::seconds{2};

std::string describe(resource_amount const& size)
{
    return "cpu_milli=" + std::to_string(size.cpu_milli_) +
           " memory_mb=" + std::to_string(size.memory_mb_) +
           " accelerators=" + std::to_string(size.accelerators_);
}

void remove_name(std::vector<std::string>& names, std::string const& name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

} // namespace

cell::cell(cell_options options, time_point now)
    : options_(options), takeover_time_(now), confirmed_(now),
      entries_read_at_(now)
{
}

void cell::on_epoch_confirmed(time_point sent)
{
    confirmed_ = std::max(confirmed_, sent);
}

bool cell::can_send_orders(time_point now) const
{
    return now - confirmed_ < options_.confirmation_limit_;
}

void cell::set_event_delay(duration delay)
{
    event_delay_ = delay;
}

void cell::on_entries_read(time_point at)
{
    entries_read_at_ = std::max(entries_read_at_, at);
}

bool cell::can_start(time_point now) const
{
    return can_send_orders(now) &&
           now - entries_read_at_ < options_.max_entries_age_;
}

void cell::set_config(fleet_config const& config)
{
    config_ = config;
    accounts_.configure(config_.workspaces_.get());
    for (auto const& item : open_jobs_)
    {
        auto& job = *item.second;
        auto const* const route = config_.find_by_name(job.route_);
        if (route != nullptr)
        {
            job.pool_ = route->pool_;
            store_policy(*route);
        }
    }
    placement_due_ = true;
}

void cell::on_worker_listed(worker_registration entry, time_point now)
{
    auto& worker = ensure_worker(entry.id_, now);
    note_incarnation(worker, entry, now);
    worker.unlisted_ = worker.incarnation_ended_;
    auto const reservation = reserved_.find(entry.vm_);
    worker.reserved_ = reservation != reserved_.end();
    if (worker.reserved_)
    {
        worker.order_sent_at_ = reservation->second;
    }
    if (worker.entry_.pool_ != entry.pool_)
    {
        remove_name(pool_workers_[worker.entry_.pool_], entry.id_);
    }
    auto& members = pool_workers_[entry.pool_];
    if (std::find(members.begin(), members.end(), entry.id_) == members.end())
    {
        members.push_back(entry.id_);
    }
    if (entry.draining_ && !worker.entry_.draining_)
    {
        log_event("worker_draining", entry.id_, "entry");
        worker.draining_since_ = now;
    }
    if (worker.entry_.address_.empty())
    {
        log_event("worker_listed", entry.id_,
                  "vm=" + entry.vm_.text() + " pool=" + entry.pool_.text() +
                      " born=" + describe(entry.incarnation_start_));
    }
    else if (!(worker.entry_.size_ == entry.size_))
    {
        log_event("worker_resized", entry.id_,
                  describe(worker.entry_.size_) + " to " +
                      describe(entry.size_));
    }
    if (worker.entry_.vm_ != entry.vm_ || worker.entry_.address_.empty())
    {
        remove_name(vm_workers_[worker.entry_.vm_], entry.id_);
        vm_workers_[entry.vm_].push_back(entry.id_);
    }
    worker.entry_ = std::move(entry);
    placement_due_ = true;
}

void cell::on_entry_repeated(std::string const& name,
                             calendar_time incarnation_start,
                             time_point stored_after)
{
    auto const found = workers_.find(name);
    if (found != workers_.end() && !found->second.is_unconfirmed_ &&
        incarnation_start == known_start(found->second))
    {
        auto& worker = found->second;
        worker.alone_until_ = std::max(
            worker.alone_until_, stored_after - options_.max_entry_delay_);
    }
}

void cell::on_vms_listed(std::map<vm_id, listed_vm> const& vms,
                         time_point asked)
{
    std::set<std::string> up;
    for (auto const& vm : vms)
    {
        bool const is_up = vm.second.status_ == vm_status::up;
        if (is_up && vm.second.worker_.empty())
        {
            // The list does not say which workers are up.
            return;
        }
        up.insert(vm.second.worker_);
    }
    for (auto& item : workers_)
    {
        auto& worker = item.second;
        // A list in pages may lack a VM.
        bool const is_listed =
            worker.entry_.vm_.empty() || vms.count(worker.entry_.vm_) != 0;
        if (!vms.empty() && is_listed && up.count(item.first) == 0)
        {
            worker.alone_until_ = std::max(worker.alone_until_, asked);
        }
    }
}

std::vector<std::string> const& cell::workers_on(vm_id const& vm) const
{
    static std::vector<std::string> const none;
    auto const found = vm_workers_.find(vm);
    return found == vm_workers_.end() ? none : found->second;
}

std::map<std::string, worker_state>::iterator
cell::erase_worker(std::map<std::string, worker_state>::iterator position)
{
    auto& worker = position->second;
    ++token_offset_;
    forget_reported_ends(position->first);
    tickets_.erase_worker(position->first);
    worker.incarnation_start_ = {};
    store_incarnation(worker);
    worker.foreign_lease_until_ = {};
    store_foreign_lease(worker);
    auto const on_vm = vm_workers_.find(worker.entry_.vm_);
    if (on_vm != vm_workers_.end())
    {
        remove_name(on_vm->second, position->first);
        if (on_vm->second.empty())
        {
            vm_workers_.erase(on_vm);
        }
    }
    return workers_.erase(position);
}

void cell::on_vm_listed(vm_id const& vm, std::string const& worker,
                        time_point asked, time_point now)
{
    auto const listed = workers_.find(worker);
    if (listed != workers_.end() && listed->second.entry_.vm_.empty())
    {
        // Known from records alone: its tasks are on that VM.
        listed->second.entry_.vm_ = vm;
        listed->second.reserved_ = reserved_.count(vm) != 0;
        vm_workers_[vm].push_back(worker);
    }
    for (auto const& name : workers_on(vm))
    {
        auto& other = workers_.at(name);
        // A worker first seen after the list was requested may be newer than
        // the list.
        bool const superseded =
            name != worker && !worker.empty() && other.first_seen_ < asked;
        if (superseded && !other.incarnation_ended_)
        {
            end_incarnation(other, "vm_has_new_life", now);
        }
    }
}

void cell::on_worker_unlisted(std::string const& name, time_point now)
{
    auto const found = workers_.find(name);
    if (found == workers_.end())
    {
        return;
    }
    auto& worker = found->second;
    worker.unlisted_ = true;
    remove_name(pool_workers_[worker.entry_.pool_], name);
    log_event("worker_gone", name,
              "tasks=" + std::to_string(worker.tasks_.size()));
    if (worker.tasks_.empty() && worker.lost_runs_.empty() &&
        worker.lapsed_runs_.empty() && may_be_forgotten(worker, now))
    {
        erase_worker(found);
    }
}

bool cell::may_be_forgotten(worker_state const& worker, time_point now) const
{
    // Its id may return while orders for this incarnation are under way, unless
    // a worker with another id has taken its place.
    bool const may_return =
        known_start(worker) != calendar_time{} && !worker.incarnation_ended_;
    return now > worker.lease_expires_at_ && !worker.renewal_in_flight_ &&
           (!may_return || now > foreign_orders_end(worker));
}

void cell::reserve(vm_id const& vm)
{
    auto const reservation = reserved_.emplace(vm, time_point::max()).first;
    for (auto const& name : workers_on(vm))
    {
        auto& worker = workers_.at(name);
        worker.reserved_ = true;
        worker.order_sent_at_ = reservation->second;
    }
    placement_due_ = true;
}

void cell::on_vm_order_sent(vm_id const& vm, time_point now)
{
    auto const found = reserved_.find(vm);
    if (found == reserved_.end() || found->second <= now)
    {
        return;
    }
    found->second = now;
    for (auto const& name : workers_on(vm))
    {
        workers_.at(name).order_sent_at_ = now;
    }
}

void cell::on_vm_order_rejected(vm_id const& vm)
{
    auto const found = reserved_.find(vm);
    if (found == reserved_.end())
    {
        return;
    }
    found->second = time_point::max();
    for (auto const& name : workers_on(vm))
    {
        workers_.at(name).order_sent_at_ = time_point::max();
    }
}

void cell::end_reservation(vm_id const& vm, time_point now)
{
    auto const found = reserved_.find(vm);
    auto const order_sent_at =
        found == reserved_.end() ? time_point::max() : found->second;
    reserved_.erase(vm);
    for (auto const& name : workers_on(vm))
    {
        auto& worker = workers_.at(name);
        worker.reserved_ = false;
        if (worker.first_seen_ <= order_sent_at && order_sent_at <= now &&
            !worker.unlisted_)
        {
            query_incarnation(worker, "vm_order", now);
            worker.next_renewal_ = now + order_query_delay;
        }
    }
    placement_due_ = true;
}

std::size_t cell::tasks_on(vm_id const& vm) const
{
    std::size_t count = 0;
    for (auto const& name : workers_on(vm))
    {
        auto const& worker = workers_.at(name);
        count += worker.tasks_.size() + worker.orphaned_runs_.size();
    }
    return count;
}

std::size_t cell::long_running_tasks_on(vm_id const& vm) const
{
    std::size_t count = 0;
    for (auto const& name : workers_on(vm))
    {
        for (auto const& task : workers_.at(name).tasks_)
        {
            auto const job = jobs_.find(task.job_.text());
            count +=
                job != jobs_.end() && job->second.request_ &&
                        job->second.request_->steps_[task.step_].long_running_
                    ? 1
                    : 0;
        }
    }
    return count;
}

bool cell::has_registered_worker(vm_id const& vm) const
{
    auto const& names = workers_on(vm);
    return std::any_of(names.begin(), names.end(),
                       [&](std::string const& name)
                       {
                           auto const& worker = workers_.at(name);
                           return !worker.unlisted_ &&
                                  !worker.entry_.address_.empty();
                       });
}

bool cell::has_new_incarnation(vm_id const& vm, time_point since) const
{
    auto const& names = workers_on(vm);
    return std::any_of(names.begin(), names.end(),
                       [&](std::string const& name)
                       {
                           auto const& worker = workers_.at(name);
                           return !worker.unlisted_ &&
                                  worker.first_seen_ > since;
                       });
}

void cell::count_unanswered(worker_state& worker, time_point now)
{
    if (++worker.unanswered_renewals_ == 1)
    {
        log_event(
            "worker_silent", worker.entry_.id_,
            "tasks=" + std::to_string(worker.tasks_.size()) +
                " unconfirmed=" + std::to_string(count_unconfirmed(worker)) +
                describe_lease(worker, now));
        worker.silent_since_ = now;
    }
}

bool cell::check_clock(worker_state& worker, char const* call,
                       std::uint32_t token_offset, order_answer const& answer,
                       time_point sent, time_point now)
{
    if (!answer.clock_ || worker.clock_read_at_ == time_point{})
    {
        return false;
    }
    auto const lag =
        clock_lag({worker.clock_, worker.clock_read_at_}, *answer.clock_, sent);
    if (lag > worker_clock{0})
    {
        log_event("worker_clock_behind", worker.entry_.id_,
                  std::string(call) + " answer_clock=" +
                      std::to_string(answer.clock_->count()) +
                      " lag=" + std::to_string(lag.count()) +
                      describe_lease(worker, now));
        // The answer to an earlier token may be of an incarnation that has
        // ended.
        if (worker.fenced_ && token_offset == worker.token_offset_)
        {
            query_incarnation(worker, "clock", now);
        }
    }
    else if (token_offset == worker.token_offset_)
    {
        read_clock(worker, *answer.clock_, now);
    }
    return lag == worker_clock{0};
}

std::size_t cell::count_unconfirmed(worker_state const& worker)
{
    return static_cast<std::size_t>(
        std::count_if(worker.tasks_.begin(), worker.tasks_.end(),
                      [&](task_id const& task)
                      {
                          auto const at = find(task);
                          return at && at.task_->phase_ != task_phase::placed &&
                                 at.task_->confirmed_run_ != at.task_->run_;
                      }));
}

void cell::read_clock(worker_state& worker, worker_clock clock, time_point now)
{
    if (clock > worker.clock_)
    {
        worker.clock_ = clock;
        worker.clock_read_at_ = now;
    }
}

void cell::release_all(worker_state& worker, time_point now,
                       std::set<task_id> const& kept)
{
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const at = find(task);
        if (at && kept.count(task) == 0)
        {
            log_loss(task, at, worker);
            release(task, at, now);
            if (!at.job_->ended())
            {
                mark_dirty(*at.job_, task);
            }
        }
    }
    worker.tasks_ = kept;
    worker.orphaned_runs_.clear();
    worker.lease_expires_at_ = now;
}

void cell::end_incarnation(worker_state& worker, char const* cause,
                           time_point now)
{
    log_event("worker_life_ended", worker.entry_.id_, cause);
    count_crash(worker, true, now);
    count_lost_runs(worker, now);
    settle_lapsed_runs(worker);
    release_all(worker, now);
    worker.unlisted_ = true;
    worker.incarnation_ended_ = true;
}

void cell::end_earlier_incarnations(worker_state const& worker, time_point now)
{
    if (worker.entry_.vm_.empty())
    {
        return;
    }
    for (auto const& name : workers_on(worker.entry_.vm_))
    {
        auto& other = workers_.at(name);
        if (other.first_seen_ < worker.first_seen_ && !other.incarnation_ended_)
        {
            end_incarnation(other, "vm_has_new_life", now);
        }
    }
}

void cell::on_start_response(start_run const& order, order_answer const& answer,
                             time_point sent, time_point now)
{
    auto const& name = order.worker_;
    auto const& task = order.task_;
    auto const run = order.run_;
    auto const outcome = answer.outcome_;
    auto const found = workers_.find(name);
    auto const at = find(task);
    bool const is_present_run = found != workers_.end() && at &&
                                at.task_->worker_ == name &&
                                at.task_->run_ == run;
    bool const current =
        is_present_run && at.task_->phase_ == task_phase::starting;
    bool const is_known_clock =
        found != workers_.end() &&
        check_clock(found->second, "start", order.token_offset_, answer, sent,
                    now);
    bool const is_known_token =
        found != workers_.end() &&
        order.token_offset_ == found->second.token_offset_;
    if (is_present_run && is_known_clock && is_known_token &&
        outcome == call_outcome::accepted)
    {
        confirm_run(task, at);
    }
    if (at && outcome == call_outcome::accepted)
    {
        at.task_->begun_runs_.add(run);
    }
    if (is_present_run)
    {
        at.task_->start_in_flight_ = false;
        if (at.task_->phase_ == task_phase::unresolved)
        {
            found->second.next_renewal_ = now;
        }
    }
    // An order for an earlier incarnation says nothing of the present one.
    bool const is_mismatch = outcome == call_outcome::incarnation_mismatch &&
                             is_known_token && found->second.fenced_;
    if (is_mismatch)
    {
        end_incarnation(found->second, "another_life_answered", now);
    }
    bool const was_lost = lost_starts_.erase({task, run}) != 0;
    if (was_lost && outcome != call_outcome::accepted &&
        outcome != call_outcome::no_answer)
    {
        forgive_lost_start(name, task, run);
    }
    if (is_mismatch || !current)
    {
        return;
    }
    auto& worker = found->second;
    switch (outcome)
    {
    case call_outcome::accepted:
        at.job_->begun_ = true;
        at.task_->phase_ = task_phase::running;
        at.task_->started_ = now;
        at.task_->established_at_ = now;
        at.task_->progressed_at_ = now;
        return;
    case call_outcome::no_answer:
        at.task_->phase_ = task_phase::unresolved;
        worker.next_renewal_ = now;
        log_event("start_unanswered", describe(task), name);
        return;
    case call_outcome::run_too_old:
    case call_outcome::too_late:
    case call_outcome::no_room:
    case call_outcome::not_run:
        record_failure(worker, now);
        break;
    case call_outcome::ticket_refused:
        tickets_.refused({task.job_, task.occurrence_, task.step_}, name, now);
        break;
    case call_outcome::not_sent:
        count_unanswered(worker, now);
        worker.next_renewal_ = now;
        break;
    case call_outcome::fenced: // a newer request overtook the start
    case call_outcome::incarnation_mismatch:
        break;
    }
    log_event("start_refused", describe(task),
              "outcome=" + std::to_string(static_cast<int>(outcome)));
    update_budget(task, at, &start_budget::on_not_started, run);
    release(task, at, now);
    mark_dirty(*at.job_, task);
}

void cell::on_advice_response(query_advice const& query,
                              advice_result const& result, time_point sent,
                              time_point now)
{
    auto const job = jobs_.find(query.step_.job_.text());
    auto const* const advice =
        job == jobs_.end() ? nullptr : advice_for(job->second);
    if (result.allowed_)
    {
        tickets_.answered(query, *result.allowed_,
                          advice == nullptr ? advice_policy{} : *advice, sent,
                          now);
    }
    else
    {
        tickets_.failed(query, result.is_queued_, now);
    }
    log_event("advice", describe(query.step_),
              "asked=" + std::to_string(query.workers_.size()) + " allowed=" +
                  (result.allowed_ ? std::to_string(result.allowed_->size())
                                   : "no_answer") +
                  " ms=" + in_milliseconds(now - sent));
    placement_due_ = true;
}

void cell::on_stop_response(stop_run const& order, order_answer const& answer,
                            time_point sent, time_point now)
{
    auto const& name = order.worker_;
    auto const& task = order.task_;
    auto const run = order.run_;
    auto const outcome = answer.outcome_;
    auto const found = workers_.find(name);
    if (found == workers_.end())
    {
        return;
    }
    if (outcome == call_outcome::incarnation_mismatch)
    {
        if (found->second.fenced_ &&
            order.token_offset_ == found->second.token_offset_)
        {
            end_incarnation(found->second, "another_life_answered", now);
        }
        return;
    }
    check_clock(found->second, "stop", order.token_offset_, answer, sent, now);
    auto const at = find(task);
    if (at && outcome == call_outcome::accepted && at.task_->worker_ == name &&
        at.task_->run_ == run && !at.task_->stop_accepted_)
    {
        at.task_->stop_accepted_ = true;
        at.task_->stop_accepted_at_ = now;
        found->second.next_renewal_ = now;
    }
}

void cell::run_periodic_checks(time_point now, calendar_time calendar)
{
    for (auto const& item : open_jobs_)
    {
        auto& job = *item.second;
        if (job.request_ && job.request_->occurrences_ > 0 && !job.ended())
        {
            add_due_occurrences(job, calendar);
        }
    }
    withdraw_unwritten_jobs(now);
    drop_lapsed_workers(now);
    if (now >= next_stall_check_)
    {
        next_stall_check_ = now + min_stall_check_interval;
        stop_stalled(now);
    }
    evacuate_draining_workers(now);
    repeat_stops(now);
    query_overdue_workers(now);
    remove_ended_jobs(now);
}

void cell::tick(time_point now, calendar_time calendar)
{
    if (now >= next_periodic_checks_)
    {
        next_periodic_checks_ = now + min_review_interval;
        run_periodic_checks(now, calendar);
    }
    if (next_isolation_retry_ != time_point{} && now >= next_isolation_retry_)
    {
        next_isolation_retry_ = {};
        placement_due_ = true;
    }
    bool const must_place = placement_due_ && now >= next_placement_;
    if (must_place || now >= latest_placement_)
    {
        placement_due_ = false;
        next_placement_ = now + min_placement_interval;
        latest_placement_ = now + max_placement_interval;
        place(now);
    }
    if (now >= next_renewals_)
    {
        next_renewals_ = now + min_renewal_scan_interval;
        send_due_renewals(now);
    }
}

std::vector<cell_action> cell::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace cuminfold
