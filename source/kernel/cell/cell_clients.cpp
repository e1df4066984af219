#include "kernel/cell/cell.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Share of a job's objective that the prediction may use up; the rest covers
/// its error.
constexpr double admission_margin = 1.0;
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

bool cell::admit(queue_route const& route, job_definition const& request,
                 duration objective, time_point now,
                 client_answer& refusal) const
{
    double cores = 0;
    resource_amount largest;
    auto const pool = pool_workers_.find(route.pool_);
    if (pool != pool_workers_.end())
    {
        for (auto const& name : pool->second)
        {
            auto const found = workers_.find(name);
            if (found == workers_.end() || found->second.gone_ ||
                found->second.entry_.draining_)
            {
                continue;
            }
            auto const& size = found->second.entry_.size_;
            cores += static_cast<double>(size.cpu_milli_) / 1000;
            largest.cpu_milli_ = std::max(largest.cpu_milli_, size.cpu_milli_);
        }
    }
    if (cores <= 0)
    {
        refusal.why_ = "no_worker";
        refusal.retry_after_ = std::chrono::seconds{1};
        return false;
    }
    if (request.occurrences_ > 0)
    {
        return true;
    }
    double ahead = 0;
    for (auto const& item : jobs_)
    {
        auto const& job = item.second;
        if (job.ended() || job.pool_ != route.pool_)
        {
            continue;
        }
        // Jobs that are late already let this one pass.
        ahead += job.objective_ < now ? 0 : work_left(job);
        if (job.lasting_)
        {
            // Lasting tasks keep their cores.
            for (auto const& step : job.request_->steps_)
            {
                cores -= step.filler_
                             ? 0
                             : static_cast<double>(step.each_.cpu_milli_) /
                                   1000 * step.tasks_;
            }
        }
    }
    bool const lasting =
        std::any_of(request.steps_.begin(), request.steps_.end(),
                    [](job_step const& step) { return step.lasting_; });
    if (lasting)
    {
        return true;
    }
    cores = std::max(cores, 1.0);
    auto const chain = run_times_.chain(request);
    double const own = run_times_.core_seconds(request);
    double const spread = std::max(seconds(chain), (ahead + own) / cores);
    double const limit = seconds(objective) * admission_margin;
    if (spread <= limit)
    {
        return true;
    }
    refusal.why_ = "objective_out_of_reach";
    refusal.retry_after_ =
        std::clamp(from_seconds(spread - limit), least_retry, longest_retry);
    return false;
}

double cell::work_left(job_state const& job) const
{
    double left = job.core_seconds_left_;
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k)
    {
        auto const& steps = job.occurrences_[k].steps_;
        for (std::size_t s = 0; s < steps.size(); ++s)
        {
            auto const& shape = job.request_->steps_[s];
            if (shape.lasting_ || steps[s].waiting_ == steps[s].tasks_.size())
            {
                continue;
            }
            double const each = static_cast<double>(shape.each_.cpu_milli_) /
                                1000 *
                                seconds(run_times_.expect(job.route_, shape));
            for (auto const& task : steps[s].tasks_)
            {
                left -= task.phase_ == task_phase::running
                            ? each * task.percent_ / 100
                            : 0;
            }
        }
    }
    return std::max(0.0, left);
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
