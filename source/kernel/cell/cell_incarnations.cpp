#include "kernel/cell/cell.hpp"

#include "kernel/cell/foreign_lease.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace cuminfold
{

void cell::note_incarnation(worker_state& worker,
                            worker_registration const& entry, time_point now)
{
    constexpr calendar_time unknown{};
    auto const start = entry.incarnation_start_;
    auto const known = known_start(worker);
    if (start == unknown || known == unknown)
    {
        return;
    }
    // A worker that is known from records alone has no entry yet.
    auto const listed = worker.entry_.address_.empty()
                            ? known
                            : worker.entry_.incarnation_start_;
    if (start != listed)
    {
        worker.incarnation_ended_ = false;
    }
    if (start != known)
    {
        worker.predecessor_drained_ = worker.entry_.draining_;
        query_incarnation(worker, "entry", now);
    }
}

void cell::query_incarnation(worker_state& worker, char const* cause,
                             time_point now)
{
    log_event("worker_unconfirmed", worker.entry_.id_,
              std::string(cause) +
                  " born=" + describe(worker.incarnation_start_) +
                  describe_lease(worker, now));
    worker.fenced_ = false;
    worker.is_unconfirmed_ = true;
    // Requests with a lower token may still arrive. An incarnation that answers
    // refuses them from then on.
    worker.token_offset_ = ++token_offset_;
    worker.renewal_in_flight_ = false;
    worker.extra_renewal_sent_ = false;
    worker.next_renewal_ = now;
    next_renewals_ = now;
}

void cell::begin_incarnation(worker_state& worker, worker_report const& report,
                             time_point now)
{
    bool const has_answered = worker.clock_read_at_ != time_point{};
    bool const has_predecessor =
        has_answered || worker.incarnation_start_ != calendar_time{};
    bool const has_foreign_lease =
        has_predecessor && (!has_answered || now <= foreign_orders_end(worker));
    if (has_predecessor)
    {
        log_event("worker_restarted", worker.entry_.id_,
                  "born=" + describe(worker.incarnation_start_) + " to " +
                      describe(report.incarnation_start_) +
                      " tasks=" + std::to_string(worker.tasks_.size()) +
                      " ends_read=" + std::to_string(worker.read_) +
                      " ends_recorded=" + std::to_string(worker.recorded_) +
                      " answer_clock=" + std::to_string(report.clock_.count()) +
                      describe_lease(worker, now));
        count_crash(worker, has_answered, now, report);
        count_lost_runs(worker, now, report);
        settle_lapsed_runs(worker);
        unsettle_tasks(worker, now);
        forget_reported_ends(worker.entry_.id_);
        tickets_.erase_worker(worker.entry_.id_);
        static_cast<worker_incarnation&>(worker) = worker_incarnation{};
        worker.first_seen_ = now;
        placement_due_ = true;
        // The answer has a raised token: no such order is accepted after it.
        worker.foreign_lease_until_ =
            has_foreign_lease
                ? report.clock_ + std::chrono::duration_cast<worker_clock>(
                                      options_.longest_lease_)
                : worker_clock{0};
    }
    worker.incarnation_start_ = report.incarnation_start_;
    if (worker.stored_start_ != calendar_time{})
    {
        store_incarnation(worker);
    }
    store_foreign_lease(worker);
}

time_point cell::foreign_orders_end(worker_state const& worker) const
{
    // An earlier owner may send orders until its confirmation is too old.
    return std::max(worker.lease_requested_at_,
                    takeover_time_ + options_.confirmation_limit_) +
           options_.max_late_call_;
}

void cell::confirm_run(task_id const& task, task_location const& at)
{
    if (at.task_->confirmed_run_ == at.task_->run_)
    {
        return;
    }
    at.task_->confirmed_run_ = at.task_->run_;
    if (stores_confirmation(at) && !at.job_->ended())
    {
        at.job_->confirmation_records_.changed_.insert(
            at.job_->blocks_.block_of(task));
        mark_dirty(*at.job_, task);
    }
}

bool cell::stores_confirmation(task_location const& at) const
{
    return at.shape_->long_running_ || at.step_->run_time_ >= options_.lease_;
}

task_numbers cell::confirmed_runs_of(job_state const& job, block_number block)
{
    task_numbers runs;
    for (auto const& id : job.blocks_.tasks_of(block, job.occurrences_.size()))
    {
        task_id task = id;
        task.job_ = job.request_->id_;
        auto const at = find(task);
        if (at && !at.task_->worker_.empty() &&
            at.task_->confirmed_run_ == at.task_->run_ &&
            stores_confirmation(at))
        {
            runs[id] = at.task_->run_;
        }
    }
    return runs;
}

void cell::restore_confirmed_runs(std::string const& name,
                                  std::string const& text)
{
    auto* const job = find_counted(record_kind::confirmed_runs, name);
    if (job == nullptr)
    {
        return;
    }
    auto const id = parse_block_name(name);
    job->confirmation_records_.stored_.insert(id.second);
    for (auto const& item : decode_task_numbers(text))
    {
        task_id task = item.first;
        task.job_ = id.first;
        auto const at = find(task);
        if (at)
        {
            at.task_->confirmed_run_ = item.second;
        }
    }
}

bool cell::may_run_unseen(task_state const& task,
                          worker_state const& worker) const
{
    // A confirmed run has ended with its incarnation.
    if (task.phase_ == task_phase::placed || task.confirmed_run_ == task.run_)
    {
        return false;
    }
    auto const sent = task.start_sent_ != time_point{}
                          ? task.start_sent_
                          : takeover_time_ + options_.confirmation_limit_;
    return worker.is_unconfirmed_ ||
           worker.alone_until_ < sent + options_.max_call_delay_;
}

std::set<task_id> cell::tasks_to_keep(worker_state const& worker,
                                      time_point now)
{
    std::set<task_id> tasks;
    // Where the platform states no starts, a restart changes the id.
    bool const may_have_restarted =
        worker.is_unconfirmed_ || known_start(worker) != calendar_time{};
    if (!may_have_restarted ||
        now > longest_lease_end(foreign_orders_end(worker)))
    {
        return tasks;
    }
    for (auto const& task : worker.tasks_)
    {
        auto const at = find(task);
        if (at && may_run_unseen(*at.task_, worker))
        {
            tasks.insert(task);
        }
    }
    return tasks;
}

void cell::store_foreign_lease(worker_state& worker)
{
    bool const has_lease = worker.foreign_lease_until_ != worker_clock{0};
    if (has_lease)
    {
        cell_record record;
        record.kind_ = record_kind::foreign_lease;
        record.name_ = worker.entry_.id_;
        record.text_ = encode(foreign_lease{worker.incarnation_start_,
                                            worker.foreign_lease_until_});
        append_record(std::move(record));
        // A new owner takes the lease only if both records agree.
        store_incarnation(worker);
    }
    else if (worker.has_lease_record_)
    {
        delete_record(record_kind::foreign_lease, worker.entry_.id_);
    }
    worker.has_lease_record_ = has_lease;
}

void cell::drop_foreign_lease(worker_state& worker, time_point now)
{
    // An idle worker states no clock.
    bool const has_ended = worker.clock_ >= worker.foreign_lease_until_ ||
                           now > worker.lease_expires_at_;
    if (worker.has_lease_record_ && worker.fenced_ && has_ended)
    {
        worker.foreign_lease_until_ = worker_clock{0};
        store_foreign_lease(worker);
    }
}

void cell::restore_foreign_lease(std::string const& name,
                                 std::string const& text, time_point now)
{
    auto const lease = decode_foreign_lease(text);
    auto& worker = ensure_worker(name, now);
    worker.has_lease_record_ = true;
    // If the records differ, the other one is newer and of a program that knows
    // no such leases.
    constexpr calendar_time unknown{};
    if (worker.stored_start_ == unknown ||
        worker.stored_start_ == lease.incarnation_start_)
    {
        worker.incarnation_start_ = lease.incarnation_start_;
        worker.foreign_lease_until_ = lease.until_;
        worker.lease_expires_at_ = std::max(worker.lease_expires_at_,
                                            longest_lease_end(takeover_time_));
    }
}

void cell::unsettle_tasks(worker_state& worker, time_point now)
{
    auto const tasks = worker.tasks_;
    for (auto const& task : tasks)
    {
        auto const at = find(task);
        if (!at)
        {
            continue;
        }
        if (at.task_->phase_ == task_phase::placed)
        {
            release(task, at, now);
            mark_dirty(*at.job_, task);
            continue;
        }
        at.task_->phase_ = task_phase::unresolved;
        at.task_->own_start_ = false;
        at.task_->stop_accepted_ = false;
        at.task_->stop_sent_ = {};
        at.task_->reported_at_ = {};
        at.task_->missing_since_ = {};
    }
}

void cell::forget_reported_ends(std::string const& worker)
{
    workers_with_new_ends_.erase(worker);
    sweep_ends_.erase(worker);
    if (in_flight_batch_)
    {
        in_flight_batch_->ends_.erase(worker);
    }
}

void cell::store_incarnation(worker_state& worker)
{
    if (worker.stored_start_ == worker.incarnation_start_)
    {
        return;
    }
    worker.stored_start_ = worker.incarnation_start_;
    cell_record record;
    record.kind_ = record_kind::incarnation;
    record.name_ = worker.entry_.id_;
    if (worker.incarnation_start_ != calendar_time{})
    {
        record.text_ = describe(worker.incarnation_start_);
    }
    append_record(std::move(record));
}

void cell::delete_record(record_kind kind, std::string const& name)
{
    cell_record record;
    record.kind_ = kind;
    record.name_ = name;
    append_record(std::move(record));
}

void cell::restore_incarnation(std::string const& name,
                               std::string const& start, time_point now)
{
    std::int64_t milliseconds = 0;
    auto const* const end = start.data() + start.size();
    auto const parsed = std::from_chars(start.data(), end, milliseconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        throw std::invalid_argument("not the start of an incarnation: " +
                                    start);
    }
    // Also without tasks: a restart that no owner has seen yet makes the leases
    // of before unreliable.
    auto& worker = ensure_worker(name, now);
    worker.incarnation_start_ =
        calendar_time{std::chrono::milliseconds{milliseconds}};
    worker.stored_start_ = worker.incarnation_start_;
}

} // namespace cuminfold
