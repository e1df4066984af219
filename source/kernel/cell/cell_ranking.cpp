#include "kernel/cell/cell.hpp"

#include <algorithm>
#include <iterator>

namespace cuminfold
{

namespace
{

/// Time between two rankings of a pool. A ranking costs about as much as the
/// check of one new job.
constexpr duration ranking_interval = std::chrono::milliseconds{100};

} // namespace

pool_capacity cell::capacity_of(pool_name const& pool, time_point now) const
{
    pool_capacity capacity;
    auto const names = pool_workers_.find(pool);
    if (names != pool_workers_.end())
    {
        for (auto const& name : names->second)
        {
            auto const found = workers_.find(name);
            if (found != workers_.end() && is_usable(found->second, now))
            {
                ++capacity.workers_;
                capacity.free_ += 1 - worker_share(found->second.used_,
                                                   found->second.entry_.size_);
            }
        }
    }
    auto const incoming = incoming_.find(pool);
    capacity.incoming_ = incoming == incoming_.end() ? 0 : incoming->second;
    return capacity;
}

ranked_job cell::ranked(job_state const& job, resource_amount const& typical,
                        time_point now) const
{
    auto const* const route = config_.find_by_name(job.route_);
    ranked_job result;
    result.long_running_ = job.long_running_;
    result.beyond_share_ = job.beyond_share_;
    result.priority_ = route == nullptr ? 0 : route->priority_;
    result.late_ = is_late(job, now);
    result.begun_ = job.begun_;
    result.deadline_ = job.objective_ - now;
    result.last_deadline_ =
        job.arrived_ + (job.objective_ - job.arrived_) * last_deadline_factor -
        now;
    if (job.long_running_)
    {
        return result;
    }
    result.path_ = remaining_critical_path(job);
    auto const left = remaining_work_of(job, typical);
    result.work_ = left.all_;
    result.running_ = std::max(0.0, left.ready_ - left.waiting_);
    auto const sizes = job_sizes_.find(job.route_);
    if (sizes != job_sizes_.end())
    {
        result.size_ =
            sizes->second.classify(run_times_.work(*job.request_, typical));
    }
    return result;
}

std::vector<std::pair<job_state const*, ranked_job>>
cell::ranked_jobs(pool_name const& pool, pool_capacity& capacity,
                  time_point now) const
{
    auto const typical = typical_worker(pool);
    std::vector<std::pair<job_state const*, ranked_job>> result;
    for (auto const& item : open_jobs_)
    {
        auto const& job = *item.second;
        if (job.ended() || job.pool_ != pool || !job.request_)
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
        }
        result.emplace_back(&job, ranked(job, typical, now));
    }
    return result;
}

void cell::rank_pool(pool_name const& pool, time_point now)
{
    auto const found = rankings_.find(pool);
    if (found == rankings_.end() ||
        now - found->second.ranked_at_ < ranking_interval)
    {
        return;
    }
    auto& ranking = found->second;
    ranking.ranked_at_ = now;
    auto capacity = capacity_of(pool, now);
    auto const open = ranked_jobs(pool, capacity, now);
    std::vector<ranked_job> jobs;
    jobs.reserve(open.size());
    for (auto const& item : open)
    {
        jobs.push_back(item.second);
    }
    auto const ranks = rank_jobs(jobs, capacity);
    ranking.overloaded_ =
        std::any_of(ranks.begin(), ranks.end(),
                    [](job_rank rank) { return rank != job_rank::selected; });
    ranking.has_deferred_ = std::find(ranks.begin(), ranks.end(),
                                      job_rank::deferred) != ranks.end();
    ranking.jobs_.clear();
    for (std::size_t i = 0; ranking.overloaded_ && i < ranks.size(); ++i)
    {
        ranking.jobs_[open[i].first->request_->id_.text()] = {ranks[i],
                                                              jobs[i]};
    }
}

placement_key cell::placement_key_of(job_state const& job, bool late,
                                     time_point now) const
{
    auto const* const route = config_.find_by_name(job.route_);
    ranked_job fields;
    fields.long_running_ = job.long_running_;
    fields.beyond_share_ = job.beyond_share_ && !job.long_running_;
    fields.priority_ = route == nullptr ? 0 : route->priority_;
    fields.deadline_ = job.objective_ - now;
    auto rank = late ? job_rank::late : job_rank::selected;
    auto const found = rankings_.find(job.pool_);
    if (found == rankings_.end() || !found->second.overloaded_)
    {
        return key_of(fields, rank, false);
    }
    auto const& ranking = found->second;
    auto const known = ranking.jobs_.find(job.request_->id_.text());
    if (known != ranking.jobs_.end())
    {
        rank = std::max(rank, known->second.first);
        fields.path_ = known->second.second.path_;
        fields.work_ = known->second.second.work_;
    }
    else if (!job.long_running_)
    {
        fields.path_ = remaining_critical_path(job);
        fields.work_ = remaining_work_of(job, typical_worker(job.pool_)).all_;
    }
    return key_of(fields, rank, true);
}

void cell::forget_rankings(
    std::map<pool_name, std::vector<std::pair<job_id, job_state*>>> const&
        waiting)
{
    for (auto ranking = rankings_.begin(); ranking != rankings_.end();)
    {
        ranking = waiting.count(ranking->first) == 0 ? rankings_.erase(ranking)
                                                     : std::next(ranking);
    }
}

void cell::note_unplaced(pool_name const& pool,
                         std::vector<std::pair<job_id, job_state*>> const& jobs)
{
    bool const waits =
        ranks_jobs() && std::any_of(jobs.begin(), jobs.end(),
                                    [](auto const& item)
                                    {
                                        auto const& job = *item.second;
                                        return !job.ended() && job.request_ &&
                                               !job.long_running_ &&
                                               has_waiting_task(job);
                                    });
    if (waits)
    {
        rankings_[pool];
    }
    else
    {
        rankings_.erase(pool);
    }
}

bool cell::ranks_jobs() const
{
    return options_.job_ranking_ != job_ranking_use::with_workspaces ||
           config_.workspaces_ != nullptr;
}

bool cell::may_wait(queue_route const& route, deadline_work const& next,
                    duration path, bool beyond_share, time_point now) const
{
    auto capacity = capacity_of(route.pool_, now);
    std::vector<ranked_job> open;
    for (auto const& item : ranked_jobs(route.pool_, capacity, now))
    {
        open.push_back(item.second);
    }
    ranked_job job;
    job.priority_ = route.priority_;
    job.beyond_share_ = beyond_share;
    job.deadline_ = from_seconds(next.deadline_seconds_);
    job.last_deadline_ = job.deadline_ * last_deadline_factor;
    job.path_ = path;
    job.work_ = next.worker_seconds_;
    auto const sizes = job_sizes_.find(route.name_);
    if (sizes != job_sizes_.end())
    {
        job.size_ = sizes->second.classify(job.work_);
    }
    return may_displace(open, job, capacity);
}

void cell::add_size(queue_route const& route, double work)
{
    // Long-running jobs have no work that ends.
    if (work > 0 && ranks_jobs())
    {
        job_sizes_[route.name_].add(work);
    }
}

} // namespace cuminfold
