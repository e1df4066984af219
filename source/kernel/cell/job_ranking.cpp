#include "kernel/cell/job_ranking.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <queue>
#include <utility>

namespace cuminfold
{

namespace
{

std::size_t index_of(size_class size)
{
    return static_cast<std::size_t>(size);
}

double sum_of(class_counts const& counts)
{
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

/// Jobs that cost callers equally much when they are delayed, apart from their
/// work. The greatest is dropped first.
using cost_group = std::pair<bool, std::uint32_t>;

cost_group group_of(ranked_job const& job)
{
    return {job.beyond_share_, job.priority_};
}

/// When the pool must have done the work up to this job: while its last task
/// begins, the running tasks are half done on average.
duration due_of(ranked_job const& job)
{
    return job.deadline_ - job.path_ / 2;
}

double droppable_work(ranked_job const& job)
{
    return job.work_ - job.running_;
}

/// The selected jobs of one group that may be dropped, and its counts.
struct group_jobs
{
    using work_and_job = std::pair<double, std::size_t>;

    std::array<std::priority_queue<work_and_job>, size_classes> by_size_;
    class_counts all_{};
    class_counts kept_{};

    /// Whether the class keeps its share of the jobs without one of them.
    bool may_drop(std::size_t size) const
    {
        double const kept_share = (sum_of(kept_) - 1) / sum_of(all_);
        return kept_[size] - 1 >=
               min_relative_service * kept_share * all_[size];
    }

    /// Drops the job with the most work that the shares of the classes allow.
    /// @return none if the group has no job to drop
    std::optional<std::size_t> drop()
    {
        std::optional<std::size_t> best;
        bool best_allowed = false;
        for (std::size_t size = 0; size < size_classes; ++size)
        {
            if (by_size_[size].empty())
            {
                continue;
            }
            bool const allowed =
                size == index_of(size_class::usual) || may_drop(size);
            bool const is_better =
                !best || (allowed && !best_allowed) ||
                (allowed == best_allowed &&
                 by_size_[size].top().first > by_size_[*best].top().first);
            if (is_better)
            {
                best = size;
                best_allowed = allowed;
            }
        }
        if (!best)
        {
            return std::nullopt;
        }
        auto const job = by_size_[*best].top().second;
        by_size_[*best].pop();
        --kept_[*best];
        return job;
    }
};

using jobs_by_group = std::map<cost_group, group_jobs>;

std::optional<std::size_t> drop_cheapest(jobs_by_group& groups)
{
    for (auto group = groups.rbegin(); group != groups.rend(); ++group)
    {
        auto const dropped = group->second.drop();
        if (dropped)
        {
            return dropped;
        }
    }
    return std::nullopt;
}

} // namespace

std::vector<job_rank> rank_jobs(std::vector<ranked_job> const& jobs,
                                pool_capacity const& pool)
{
    std::vector<job_rank> ranks(jobs.size(), job_rank::selected);
    std::vector<std::size_t> by_deadline;
    jobs_by_group groups;
    double sum = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        auto const& job = jobs[i];
        if (job.long_running_)
        {
            continue;
        }
        if (job.late_)
        {
            ranks[i] = job.last_deadline_ > duration{0} ? job_rank::late
                                                        : job_rank::overdue;
            sum += job.running_;
            continue;
        }
        by_deadline.push_back(i);
        auto& group = groups[group_of(job)];
        ++group.all_[index_of(job.size_)];
        ++group.kept_[index_of(job.size_)];
    }
    std::stable_sort(by_deadline.begin(), by_deadline.end(),
                     [&](std::size_t a, std::size_t b)
                     { return latest_start(jobs[a]) < latest_start(jobs[b]); });
    for (auto const i : by_deadline)
    {
        auto const& job = jobs[i];
        sum += job.work_;
        if (droppable_work(job) > 0)
        {
            groups[group_of(job)].by_size_[index_of(job.size_)].emplace(
                droppable_work(job), i);
        }
        while (sum > available_work(pool, due_of(job)))
        {
            auto const dropped = drop_cheapest(groups);
            if (!dropped)
            {
                break;
            }
            ranks[*dropped] = job_rank::deferred;
            sum -= droppable_work(jobs[*dropped]);
        }
    }
    return ranks;
}

bool may_displace(std::vector<ranked_job> const& open, ranked_job const& next,
                  pool_capacity const& pool)
{
    auto const before = rank_jobs(open, pool);
    auto all = open;
    all.push_back(next);
    auto const after = rank_jobs(all, pool);
    if (after.back() != job_rank::selected)
    {
        return false;
    }
    std::vector<deadline_work> ahead;
    for (std::size_t i = 0; i < open.size(); ++i)
    {
        auto const& job = open[i];
        if (job.long_running_)
        {
            continue;
        }
        bool const stays = after[i] == job_rank::selected;
        bool const is_displaced = !stays && before[i] == job_rank::selected;
        if (is_displaced && (job.begun_ || group_of(job) <= group_of(next)))
        {
            return false;
        }
        if (stays)
        {
            ahead.push_back({to_seconds(due_of(job)), job.work_});
            continue;
        }
        ahead.push_back({0, job.running_});
        if (after[i] != job_rank::overdue)
        {
            ahead.push_back(
                {to_seconds(job.last_deadline_), droppable_work(job)});
        }
    }
    return excess_work(std::move(ahead), {to_seconds(due_of(next)), next.work_},
                       pool) <= 0;
}

placement_key key_of(ranked_job const& job, job_rank rank, bool overloaded)
{
    double order = to_seconds(job.deadline_);
    if (overloaded)
    {
        order = rank == job_rank::selected ? to_seconds(latest_start(job))
                                           : job.work_;
    }
    return {rank, !job.long_running_, job.beyond_share_, job.priority_, order};
}

size_class job_sizes::classify(double work) const
{
    if (limits_ && work >= limits_->back())
    {
        return size_class::largest;
    }
    return limits_ && work >= limits_->front() ? size_class::large
                                               : size_class::usual;
}

void job_sizes::add(double work)
{
    if (works_.size() < samples)
    {
        works_.push_back(work);
    }
    else
    {
        works_[next_sample_ % samples] = work;
    }
    ++next_sample_;
    if (next_sample_ % renewal_interval != 0)
    {
        return;
    }
    auto sorted = works_;
    std::sort(sorted.begin(), sorted.end());
    // Jobs of equal size are of one class, so that a queue whose jobs are all
    // alike has no large ones.
    auto const limit_at = [&](std::size_t percent)
    {
        auto const value = sorted[sorted.size() * percent / 100];
        return value > sorted.front() ? value
                                      : std::numeric_limits<double>::infinity();
    };
    limits_ = {limit_at(70), limit_at(90)};
}

} // namespace cuminfold
