#include "kernel/cell/cell.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Share of the workers' time that tasks can use: the rest is lost to sizes
/// that do not fit together and to the time between two tasks.
constexpr double packing_share = 0.85;
/// Until a VM that is on its way takes tasks.
constexpr duration incoming_delay = std::chrono::milliseconds{1200};
/// Least and longest time that a refused client is told to stay away.
constexpr duration least_retry = std::chrono::milliseconds{200};
constexpr duration longest_retry = std::chrono::seconds{5};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

client_answer cell::answer(answer_kind kind, char const* why) const
{
    client_answer result;
    result.kind_ = kind;
    result.why_ = why;
    result.config_version_ = config_.version_;
    return result;
}

void cell::reply(std::uint64_t exchange, client_answer answer)
{
    actions_.emplace_back(answer_client{exchange, std::move(answer)});
}

void cell::note(char const* event, std::string subject, std::string why)
{
    actions_.emplace_back(
        note_decision{event, std::move(subject), std::move(why)});
}

void cell::submit(std::uint64_t exchange, queue_route const& route,
                  job_definition request, time_point now)
{
    auto const known = jobs_.find(request.id_.text());
    if (known != jobs_.end())
    {
        if (known->second.stored_)
        {
            reply(exchange, answer(answer_kind::accepted, "already_stored"));
        }
        else
        {
            known->second.accept_waits_.push_back(exchange);
        }
        return;
    }
    auto const chain = run_times_.chain(request);
    auto const objective =
        from_seconds(seconds(chain) * route.stretch_) + route.objective_;
    demand_.add(route.pool_, request.id_,
                run_times_.work(request, typical_worker(route.pool_)), now);
    client_answer refusal = answer(answer_kind::overloaded, "");
    if (!admit(route, request, objective, now, refusal))
    {
        reply(exchange, refusal);
        return;
    }
    auto const name = request.id_.text();
    auto& job = jobs_[name];
    job.request_ = std::make_shared<job_definition const>(std::move(request));
    job.route_ = route.name_;
    job.pool_ = route.pool_;
    job.arrived_ = now;
    job.objective_ = now + objective;
    prepare(job, now);
    job.accept_waits_.push_back(exchange);
    mark(job);
    placement_due_ = true;
}

resource_amount cell::typical_worker(pool_name const& pool) const
{
    resource_amount any{1000, 1, 1};
    for (auto const& item : workers_)
    {
        if (item.second.entry_.pool_ == pool)
        {
            return item.second.entry_.size_;
        }
        any = item.second.entry_.size_;
    }
    return any;
}

bool cell::admit(queue_route const& route, job_definition const& request,
                 duration objective, time_point now,
                 client_answer& refusal) const
{
    double workers = 0;
    double lasting = 0;
    auto const typical = typical_worker(route.pool_);
    auto const pool = pool_workers_.find(route.pool_);
    if (pool != pool_workers_.end())
    {
        for (auto const& name : pool->second)
        {
            auto const found = workers_.find(name);
            workers += found != workers_.end() && is_usable(found->second, now)
                           ? 1
                           : 0;
        }
    }
    auto const coming = incoming_.find(route.pool_);
    double const incoming = coming == incoming_.end() ? 0 : coming->second;
    if (workers + incoming <= 0)
    {
        refusal.why_ = "no_worker";
        refusal.retry_after_ = std::chrono::seconds{1};
        return false;
    }
    bool const lasts =
        std::any_of(request.steps_.begin(), request.steps_.end(),
                    [](job_step const& step) { return step.lasting_; });
    if (request.occurrences_ > 0 || lasts)
    {
        return true;
    }
    double ahead = 0;
    for (auto const& item : jobs_)
    {
        auto const& job = item.second;
        if (job.ended() || job.pool_ != route.pool_ || !job.request_)
        {
            continue;
        }
        if (job.lasting_)
        {
            for (auto const& step : job.request_->steps_)
            {
                lasting += worker_share(step.each_, typical) * step.tasks_;
            }
        }
        // Jobs that are late already let this one pass.
        ahead += job.objective_ < now ? 0 : work_left(job, typical);
    }
    double const time = seconds(objective);
    double const room =
        packing_share *
        (std::max(workers - lasting, 0.0) * time +
         incoming * std::max(time - seconds(incoming_delay), 0.0));
    double const own = run_times_.work(request, typical);
    if (ahead + own <= room && seconds(run_times_.chain(request)) <= time)
    {
        return true;
    }
    refusal.why_ = "objective_out_of_reach";
    refusal.retry_after_ = std::clamp(
        from_seconds((ahead + own - room) / std::max(1.0, workers - lasting)),
        least_retry, longest_retry);
    return false;
}

bool cell::is_usable(worker_state const& worker, time_point now) const
{
    return !worker.gone_ && !worker.entry_.draining_ && !worker.reserved_ &&
           worker.silent_renewals_ == 0 && now >= worker.avoided_until_;
}

double cell::work_left(job_state const& job,
                       resource_amount const& worker) const
{
    double left = 0;
    auto const& request = *job.request_;
    for (auto const& occurrence : job.occurrences_)
    {
        for (std::size_t s = 0; s < occurrence.steps_.size(); ++s)
        {
            auto const& shape = request.steps_[s];
            auto const& step = occurrence.steps_[s];
            if (shape.lasting_ || step.done_ == step.tasks_.size())
            {
                continue;
            }
            double const each = run_times_.task_work(job.route_, shape, worker);
            left += each * static_cast<double>(step.tasks_.size() - step.done_);
            for (auto const& task : step.tasks_)
            {
                left -= task.phase_ == task_phase::running
                            ? each * std::min(100U, task.percent_) / 100
                            : 0;
            }
        }
    }
    return std::max(0.0, left);
}

std::vector<pool_load> cell::loads(time_point now) const
{
    std::map<pool_name, pool_load> by_pool;
    for (auto const& pool : config_.pools_)
    {
        auto& load = by_pool[pool.first];
        load.pool_ = pool.first;
        load.standby_ = pool.second.standby_;
        load.rate_ = demand_.rate(pool.first, now);
    }
    for (auto const& item : workers_)
    {
        auto const& worker = item.second;
        auto const load = by_pool.find(worker.entry_.pool_);
        if (load == by_pool.end() || worker.gone_ || worker.entry_.draining_ ||
            worker.reserved_)
        {
            continue;
        }
        ++load->second.workers_;
        load->second.fixed_ += worker.lasting_tasks_ > 0 ? 1 : 0;
        if (worker.tasks_.empty() && worker.strays_.empty() && worker.fenced_ &&
            !worker.entry_.vm_.empty())
        {
            load->second.free_.push_back(worker.entry_.vm_);
        }
    }
    for (auto const& item : jobs_)
    {
        auto const& job = item.second;
        auto const load = by_pool.find(job.pool_);
        if (load != by_pool.end() && !job.ended() && job.request_)
        {
            load->second.backlog_ += work_left(job, typical_worker(job.pool_));
        }
    }
    std::vector<pool_load> result;
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

void cell::query(std::uint64_t exchange, job_id const& job)
{
    auto const found = jobs_.find(job.text());
    if (found == jobs_.end() || !found->second.stored_)
    {
        reply(exchange, answer(answer_kind::no_such_job, "unknown_job"));
        return;
    }
    auto const& state = found->second;
    client_answer result = answer(answer_kind::standing, "known_job");
    result.standing_ = state.stored_standing_;
    if (result.standing_ == job_standing::queued && state.begun_)
    {
        result.standing_ = job_standing::running;
    }
    reply(exchange, result);
}

void cell::cancel(std::uint64_t exchange, job_id const& job, time_point now)
{
    auto const found = jobs_.find(job.text());
    if (found == jobs_.end())
    {
        reply(exchange, answer(answer_kind::no_such_job, "unknown_job"));
        return;
    }
    auto& state = found->second;
    if (state.stored_standing_ != job_standing::queued &&
        state.stored_standing_ != job_standing::running)
    {
        reply(exchange, answer(answer_kind::accepted, "already_ended"));
        return;
    }
    state.cancel_waits_.push_back(exchange);
    if (!state.ended())
    {
        state.standing_ = job_standing::cancelled;
        state.ended_ = now;
        note("job_cancelled", job.text(), "client");
        mark(state);
    }
}

void cell::count(std::uint64_t exchange, queue_route const& route)
{
    client_answer result = answer(answer_kind::pending, "counted");
    result.pending_ = count_pending(route.name_);
    reply(exchange, result);
}

std::uint64_t cell::count_pending(std::string const& route) const
{
    std::uint64_t pending = 0;
    for (auto const& item : jobs_)
    {
        auto const& job = item.second;
        pending +=
            job.stored_ && !job.ended() && !job.begun_ && job.route_ == route
                ? 1
                : 0;
    }
    return pending;
}

} // namespace cuminfold
