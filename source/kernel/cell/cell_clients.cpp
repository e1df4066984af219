#include "kernel/cell/cell.hpp"

#include "kernel/cell/admission_check.hpp"
#include "kernel/cell/job_memory.hpp"
#include "kernel/cell/outage_retry.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Bounds of the retry time that a refused client gets.
constexpr duration min_retry = std::chrono::milliseconds{200};
constexpr duration max_retry = std::chrono::seconds{5};

/// Number of workers in a query to a policy service, for the time that a job's
/// objective includes for such queries.
constexpr std::size_t expected_advice_size = 30;

/// A worker of a limit's size, for `worker_share()`.
resource_amount as_worker(resource_amount limit)
{
    // Larger than any sum of tasks.
    constexpr std::int64_t unlimited = std::int64_t{1} << 50U;
    for (auto* const amount :
         {&limit.cpu_milli_, &limit.memory_mb_, &limit.accelerators_})
    {
        *amount = *amount == 0 ? unlimited : *amount;
    }
    return limit;
}

} // namespace

client_answer cell::make_answer(answer_kind kind, char const* cause) const
{
    client_answer result;
    result.kind_ = kind;
    result.cause_ = cause;
    result.config_version_ = config_.version_;
    return result;
}

client_answer cell::refuse_other_workspace() const
{
    return make_answer(answer_kind::forbidden, "other_workspace");
}

void cell::reply(std::uint64_t exchange, client_answer answer)
{
    actions_.emplace_back(answer_client{exchange, std::move(answer)});
}

void cell::log_event(char const* event, std::string subject, std::string cause)
{
    actions_.emplace_back(
        log_decision{event, std::move(subject), std::move(cause)});
}

duration cell::time_already_waited(queue_route const& route, duration time_left)
{
    auto& longest = max_client_waits_[route.name_];
    longest = std::max(longest, time_left);
    return longest - time_left;
}

bool cell::store_stalled(time_point now) const
{
    return in_flight_batch_ &&
           now - batch_sent_at_ > options_.store_stall_timeout_;
}

void cell::submit(std::uint64_t exchange, queue_route const& route,
                  job_definition request, duration time_left, time_point now)
{
    auto const known = jobs_.find(request.id_.text());
    if (known != jobs_.end())
    {
        if (!may_access(known->second, {request.workspace_.get(), route.name_}))
        {
            reply(exchange, refuse_other_workspace());
        }
        else if (known->second.stored_)
        {
            reply(exchange,
                  make_answer(answer_kind::accepted, "already_stored"));
        }
        else
        {
            known->second.accept_waiters_.push_back(exchange);
        }
        return;
    }
    if (record_size_bound(request) > options_.max_record_bytes_)
    {
        reply(exchange, make_answer(answer_kind::too_large, "job_too_large"));
        return;
    }
    auto const memory = memory_bound(request);
    if (memory > options_.max_job_memory_)
    {
        reply(exchange, make_answer(answer_kind::too_large, "job_memory"));
        return;
    }
    if (job_memory_ + memory > options_.max_job_memory_)
    {
        auto refusal = make_answer(answer_kind::overloaded, "job_memory");
        refusal.retry_after_ = max_retry;
        reply(exchange, refusal);
        return;
    }
    auto* const account = accounts_.ensure(request.workspace_);
    if (account != nullptr)
    {
        request.workspace_ = account->name();
    }
    auto const already_waited = time_already_waited(route, time_left);
    double const work = run_times_.work(request, typical_worker(route.pool_));
    bool const is_new = demand_.add(route.pool_, request.id_, work, now);
    bool const beyond_share =
        account != nullptr && accounts_.is_beyond_share(*account, is_new, now);
    char const* const refusal_cause =
        store_stalled(now)                         ? "store_stalled"
        : time_left < options_.min_client_time_    ? "too_little_time"
        : event_delay_ > options_.max_event_delay_ ? "owner_overloaded"
                                                   : nullptr;
    if (refusal_cause != nullptr)
    {
        client_answer refusal =
            make_answer(answer_kind::unavailable, refusal_cause);
        refusal.retry_after_ = store_stalled(now)
                                   ? outage_retry_after(now - batch_sent_at_)
                                   : std::chrono::seconds{1};
        reply(exchange, refusal);
        return;
    }
    auto const advice = route.advice_
                            ? route.advice_->answer_time(expected_advice_size)
                            : duration{0};
    auto const longest_chain =
        run_times_.longest_chain(request, advice, account);
    // The objective counts from the client's first attempt.
    auto const objective =
        from_seconds(to_seconds(longest_chain) * route.stretch_) +
        route.objective_ - already_waited;
    client_answer refusal = make_answer(answer_kind::overloaded, "");
    add_size(route, work);
    bool const is_accepted =
        (account == nullptr ||
         is_within_limit(*account, request, objective, now, refusal)) &&
        admit(route, request, objective, beyond_share, now, refusal);
    if (!is_accepted)
    {
        reply(exchange, refusal);
        return;
    }
    request.max_attempts_ = route.max_attempts_;
    auto const name = request.id_.text();
    auto& job = jobs_[name];
    open_jobs_[name] = &job;
    job.request_ = std::make_shared<job_definition const>(std::move(request));
    job.route_ = route.name_;
    job.pool_ = route.pool_;
    job.arrived_ = now;
    job.objective_ = now + objective;
    job.account_ = account;
    job.beyond_share_ = beyond_share;
    job.memory_ = memory;
    job_memory_ += memory;
    initialize_job(job, now);
    job.accept_waiters_.push_back(exchange);
    store_policy(route);
    mark_dirty(job);
    placement_due_ = true;
}

resource_amount cell::typical_worker(pool_name const& pool) const
{
    resource_amount any{1000, 1, 1};
    for (auto const& item : workers_)
    {
        auto const& entry = item.second.entry_;
        if (entry.address_.empty())
        {
            // Known from records alone.
            continue;
        }
        if (entry.pool_ == pool)
        {
            return entry.size_;
        }
        any = entry.size_;
    }
    return any;
}

bool cell::admit(queue_route const& route, job_definition const& request,
                 duration objective, bool beyond_share, time_point now,
                 client_answer& refusal) const
{
    auto const typical = typical_worker(route.pool_);
    auto capacity = capacity_of(route.pool_, now);
    if (capacity.workers_ + capacity.incoming_ <= 0)
    {
        refusal.cause_ = "no_worker";
        refusal.retry_after_ = std::chrono::seconds{1};
        return false;
    }
    bool const is_long_running =
        std::any_of(request.steps_.begin(), request.steps_.end(),
                    [](job_step const& step) { return step.long_running_; });
    if (request.occurrences_ > 0 || is_long_running)
    {
        return true;
    }
    std::vector<deadline_work> ahead;
    bool waiting = false;
    for (auto const& item : open_jobs_)
    {
        auto const& job = *item.second;
        if (job.ended() || job.pool_ != route.pool_ || !job.request_)
        {
            continue;
        }
        if (job.long_running_)
        {
            for (auto const& step : job.request_->steps_)
            {
                capacity.long_running_ += worker_share(step.each_, typical) *
                                          static_cast<double>(step.tasks_);
            }
            continue;
        }
        auto const left = remaining_work_of(job, typical);
        // A job beyond its workspace's share gives way to one within it.
        bool const gives_way =
            !job.long_running_ && job.beyond_share_ && !beyond_share;
        waiting = waiting || (left.waiting_ > 0 && !gives_way);
        if (gives_way || is_late(job, now))
        {
            // New jobs are placed before a late one, so that only its running
            // tasks take capacity from them.
            ahead.push_back({0, left.ready_ - left.waiting_});
        }
        else
        {
            ahead.push_back({to_seconds(job.objective_ - now), left.all_});
        }
    }
    double const work = run_times_.work(request, typical);
    double const first_step = worker_share(request.steps_[0].each_, typical) *
                              request.steps_[0].tasks_;
    bool const begins_now =
        !waiting && first_step <= capacity.free_ * packing_efficiency;
    auto const longest_chain = run_times_.longest_chain(request);
    double const time = to_seconds(std::max(objective, longest_chain));
    double const excess = excess_work(std::move(ahead), {time, work}, capacity);
    bool const admits_by_rank =
        options_.job_ranking_ == job_ranking_use::admission;
    bool const fits =
        excess <= 0 && !(admits_by_rank && has_deferred_jobs(route.pool_));
    if (begins_now || fits ||
        (admits_by_rank &&
         may_wait(route, {time, work}, longest_chain, beyond_share, now)))
    {
        return true;
    }
    refusal.cause_ =
        beyond_share ? "workspace_beyond_share" : "objective_out_of_reach";
    refusal.retry_after_ =
        std::clamp(from_seconds(excess / std::max(1.0, capacity.workers_)),
                   min_retry, max_retry);
    return false;
}

bool cell::may_access(job_state const& job, job_caller const& from)
{
    if (job.account_ == nullptr)
    {
        return true;
    }
    return from.workspace_ != nullptr
               ? *from.workspace_ == *job.account_->name()
               : from.route_ == job.route_;
}

bool cell::is_within_limit(workspace_account const& account,
                           job_definition const& request, duration objective,
                           time_point now, client_answer& refusal) const
{
    auto const refuse = [&](answer_kind kind)
    {
        refusal.kind_ = kind;
        refusal.cause_ = "workspace_limit " + account.name()->text();
        return false;
    };
    bool is_long_running = false;
    for (auto const& step : request.steps_)
    {
        if (!account.can_ever_admit(step.each_, step.gang_ ? step.tasks_ : 1))
        {
            return refuse(answer_kind::too_large);
        }
        is_long_running = is_long_running || step.long_running_;
    }
    auto const limit = as_worker(account.limit());
    bool const is_bounded = !(account.limit() == resource_amount{}) &&
                            request.occurrences_ == 0 && !is_long_running;
    if (!is_bounded)
    {
        return true;
    }
    // The limit counts as one worker of that size, which no other workspace
    // uses.
    pool_capacity capacity;
    capacity.workers_ = 1 / packing_efficiency;
    std::vector<deadline_work> ahead;
    bool is_used_up = false;
    for (auto const& item : open_jobs_)
    {
        auto const& job = *item.second;
        if (job.account_ != &account || job.ended() || !job.request_)
        {
            continue;
        }
        is_used_up = is_used_up || is_held_by_limit(job);
        if (job.long_running_)
        {
            for (auto const& step : job.request_->steps_)
            {
                capacity.long_running_ += worker_share(step.each_, limit) *
                                          static_cast<double>(step.tasks_) /
                                          packing_efficiency;
            }
            continue;
        }
        ahead.push_back({to_seconds(job.objective_ - now),
                         remaining_work_of(job, limit).all_});
    }
    auto const& first = request.steps_[0];
    auto const together =
        std::min(first.tasks_, account.max_parallel(first.each_));
    if (!is_used_up && account.admits(first.each_, together))
    {
        return true;
    }
    auto const chain = run_times_.longest_chain(request, duration{0}, &account);
    double const excess = excess_work(std::move(ahead),
                                      {to_seconds(std::max(objective, chain)),
                                       run_times_.work(request, limit)},
                                      capacity);
    if (excess <= 0)
    {
        return true;
    }
    refusal.retry_after_ =
        std::clamp(from_seconds(excess), min_retry, max_retry);
    return refuse(answer_kind::overloaded);
}

bool cell::is_usable(worker_state const& worker, time_point now) const
{
    return !worker.unlisted_ && !worker.entry_.draining_ && !worker.reserved_ &&
           worker.unanswered_renewals_ == 0 && now >= worker.avoided_until_;
}

cell::remaining_work
cell::remaining_work_of(job_state const& job,
                        resource_amount const& worker) const
{
    remaining_work left;
    auto const& request = *job.request_;
    for (auto const& occurrence : job.occurrences_)
    {
        for (std::size_t s = 0; s < occurrence.steps_.size(); ++s)
        {
            auto const& shape = request.steps_[s];
            auto const& step = occurrence.steps_[s];
            if (shape.long_running_ || step.done_ == step.tasks_.size())
            {
                continue;
            }
            double const each =
                worker_share(shape.each_, worker) * to_seconds(step.run_time_);
            double const waiting = each * step.waiting_;
            double running = 0;
            // Most steps of the jobs ahead have not begun.
            bool const any_held =
                step.waiting_ + step.done_ != step.tasks_.size();
            for (auto task = step.tasks_.begin();
                 any_held && task != step.tasks_.end(); ++task)
            {
                bool const held = task->phase_ != task_phase::waiting &&
                                  task->phase_ != task_phase::done;
                running +=
                    held ? each * (100 - std::min(100U, task->percent_)) / 100
                         : 0;
            }
            left.all_ += waiting + running;
            if (is_ready(shape, occurrence))
            {
                left.waiting_ += waiting;
                left.ready_ += waiting + running;
            }
        }
    }
    return left;
}

std::vector<pool_load> cell::loads(time_point now) const
{
    std::map<pool_name, pool_load> by_pool;
    std::map<pool_name, resource_amount> typical;
    std::map<pool_name, std::vector<std::pair<std::size_t, vm_id>>> emptying;
    for (auto const& pool : config_.pools_)
    {
        auto& load = by_pool[pool.first];
        load.pool_ = pool.first;
        typical[pool.first] = typical_worker(pool.first);
        load.standby_ = pool.second.standby_;
        load.rate_ = demand_.rate(pool.first, now);
    }
    for (auto const& item : workers_)
    {
        auto const& worker = item.second;
        auto const load = by_pool.find(worker.entry_.pool_);
        if (load == by_pool.end() || worker.unlisted_ ||
            worker.entry_.draining_ || worker.reserved_)
        {
            continue;
        }
        ++load->second.workers_;
        load->second.fixed_ += worker.long_running_tasks_ > 0 ? 1 : 0;
        if (worker.entry_.vm_.empty() || !worker.fenced_ ||
            !worker.orphaned_runs_.empty() || worker.long_running_tasks_ > 0)
        {
            continue;
        }
        if (worker.tasks_.empty())
        {
            load->second.free_.push_back(worker.entry_.vm_);
        }
        else
        {
            emptying[worker.entry_.pool_].emplace_back(worker.tasks_.size(),
                                                       worker.entry_.vm_);
        }
    }
    for (auto const& item : open_jobs_)
    {
        auto const& job = *item.second;
        auto const load = by_pool.find(job.pool_);
        if (load != by_pool.end() && !job.ended() && job.request_)
        {
            auto const left = remaining_work_of(job, typical.at(job.pool_));
            // More workers would not help tasks that a limit holds back.
            auto const work = is_held_by_limit(job)
                                  ? left.ready_ - left.waiting_
                                  : left.ready_;
            (is_late(job, now) ? load->second.late_backlog_
                               : load->second.backlog_) += work;
        }
    }
    for (auto& item : emptying)
    {
        std::sort(item.second.begin(), item.second.end());
        for (auto& vm : item.second)
        {
            by_pool[item.first].emptying_.push_back(std::move(vm.second));
        }
    }
    std::vector<pool_load> result;
    result.reserve(by_pool.size());
    for (auto& item : by_pool)
    {
        result.push_back(std::move(item.second));
    }
    return result;
}

void cell::set_incoming(std::map<pool_name, std::uint32_t> incoming)
{
    incoming_ = std::move(incoming);
}

void cell::withdraw_unwritten_jobs(time_point now)
{
    if (!store_stalled(now))
    {
        return;
    }
    std::set<std::string> withdrawn;
    for (auto const* const blocks : {&sweep_, &dirty_blocks_})
    {
        for (auto const& block : *blocks)
        {
            auto const& job = jobs_.at(block.first);
            if (!job.request_written_ && !job.stored_ &&
                now - job.arrived_ >= options_.store_stall_timeout_)
            {
                withdrawn.insert(block.first);
            }
        }
    }
    for (auto const& name : withdrawn)
    {
        auto const found = jobs_.find(name);
        auto& job = found->second;
        client_answer refusal =
            make_answer(answer_kind::unavailable, "store_stalled");
        refusal.retry_after_ = outage_retry_after(now - batch_sent_at_);
        for (auto const exchange : job.accept_waiters_)
        {
            reply(exchange, refusal);
        }
        for (auto const exchange : job.cancel_waiters_)
        {
            reply(exchange,
                  make_answer(answer_kind::no_such_job, "never_stored"));
        }
        release_all(job, now);
        release_memory(job);
        open_jobs_.erase(name);
        jobs_.erase(found);
    }
    for (auto* const blocks : {&sweep_, &dirty_blocks_})
    {
        blocks->erase(
            std::remove_if(blocks->begin(), blocks->end(),
                           [&](auto const& block)
                           { return withdrawn.count(block.first) != 0; }),
            blocks->end());
    }
}

void cell::release_all(job_state& job, time_point now)
{
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k)
    {
        auto& steps = job.occurrences_[k].steps_;
        for (std::uint32_t s = 0; s < steps.size(); ++s)
        {
            for (std::uint32_t i = 0; i < steps[s].tasks_.size(); ++i)
            {
                task_id const task{job.request_->id_, k, s, i};
                if (!steps[s].tasks_[i].worker_.empty())
                {
                    release(task, find(task), now);
                }
            }
        }
    }
}

void cell::query(std::uint64_t exchange, job_id const& job,
                 job_caller const& from)
{
    auto const found = jobs_.find(job.text());
    if (found == jobs_.end() || !found->second.stored_)
    {
        reply(exchange, make_answer(answer_kind::no_such_job, "unknown_job"));
        return;
    }
    auto const& state = found->second;
    if (!may_access(state, from))
    {
        reply(exchange, refuse_other_workspace());
        return;
    }
    client_answer result = make_answer(answer_kind::status, "known_job");
    result.status_ = state.stored_status_;
    if (result.status_ == job_status::queued && state.begun_)
    {
        result.status_ = job_status::running;
    }
    reply(exchange, result);
}

void cell::cancel(std::uint64_t exchange, job_id const& job, time_point now,
                  job_caller const& from)
{
    auto const found = jobs_.find(job.text());
    if (found == jobs_.end())
    {
        reply(exchange, make_answer(answer_kind::no_such_job, "unknown_job"));
        return;
    }
    auto& state = found->second;
    if (!may_access(state, from))
    {
        reply(exchange, refuse_other_workspace());
        return;
    }
    if (state.stored_status_ != job_status::queued &&
        state.stored_status_ != job_status::running)
    {
        reply(exchange, make_answer(answer_kind::accepted, "already_ended"));
        return;
    }
    state.cancel_waiters_.push_back(exchange);
    if (!state.ended())
    {
        state.status_ = job_status::cancelled;
        state.ended_ = now;
        log_event("job_cancelled", job.text(), "client");
        mark_dirty(state);
    }
}

void cell::count(std::uint64_t exchange, queue_route const& route)
{
    client_answer result = make_answer(answer_kind::pending, "counted");
    result.pending_ = count_pending(route.name_);
    reply(exchange, result);
}

std::uint64_t cell::count_pending(std::string const& route) const
{
    std::uint64_t pending = 0;
    for (auto const& item : open_jobs_)
    {
        auto const& job = *item.second;
        pending +=
            job.stored_ && !job.ended() && !job.begun_ && job.route_ == route
                ? 1
                : 0;
    }
    return pending;
}

} // namespace cuminfold
