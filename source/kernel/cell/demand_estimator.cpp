#include "kernel/cell/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace cuminfold
{

namespace
{

/// Time constant of the moving average: short, since queues change between
/// much and little within seconds.
constexpr double smoothing_seconds = 0.6;
/// That many jobs within that time make a surge.
constexpr std::size_t surge_jobs = 4;
constexpr duration surge_time = std::chrono::milliseconds{500};
/// A surge's rate is taken from its start for this long; then the moving
/// average has caught up.
constexpr double settled_surge_seconds = 0.9;
constexpr double min_surge_seconds = 0.25;
/// Time constant with which an earlier surge is forgotten, and the share of it
/// that is expected of the next one.
constexpr double surge_rate_decay_seconds = 60;
constexpr double expected_surge_share = 0.8;
/// Clients repeat a refused job no longer than this.
constexpr duration repeat_time = std::chrono::seconds{6};

} // namespace

void demand_estimator::add(pool_name const& pool, job_id const& job,
                           double work, time_point now)
{
    evict_seen_jobs(now);
    auto const seen = last_seen_.emplace(job.text(), now);
    if (!seen.second)
    {
        seen.first->second = now;
        return;
    }
    auto& entry = rates_[pool];
    entry.rate_ = decayed_rate(entry, now) + work / smoothing_seconds;
    entry.updated_at_ = now;
    bool const surged = in_surge(entry, now);
    entry.arrivals_.push_back(now);
    while (entry.arrivals_.size() > surge_jobs)
    {
        entry.arrivals_.pop_front();
    }
    if (in_surge(entry, now))
    {
        if (!surged)
        {
            entry.expected_surge_rate_ =
                entry.surge_rate_ *
                std::exp(-to_seconds(now - entry.surge_rate_at_) /
                         surge_rate_decay_seconds);
            entry.surge_began_ = entry.arrivals_.front();
            entry.surge_work_ = entry.rate_ * smoothing_seconds;
        }
        else
        {
            entry.surge_work_ += work;
        }
        auto const time = to_seconds(now - entry.surge_began_);
        if (time > settled_surge_seconds)
        {
            // Its mean: the sizes of single jobs differ by far.
            entry.surge_rate_ = entry.surge_work_ / time;
            entry.surge_rate_at_ = now;
        }
    }
}

double demand_estimator::decayed_rate(pool_rate const& entry, time_point now)
{
    return entry.rate_ *
           std::exp(-to_seconds(now - entry.updated_at_) / smoothing_seconds);
}

bool demand_estimator::in_surge(pool_rate const& entry, time_point now)
{
    return entry.arrivals_.size() == surge_jobs &&
           now - entry.arrivals_.front() < surge_time;
}

double demand_estimator::rate(pool_name const& pool, time_point now) const
{
    auto const found = rates_.find(pool);
    if (found == rates_.end())
    {
        return 0;
    }
    auto const& entry = found->second;
    double const rate = decayed_rate(entry, now);
    if (!in_surge(entry, now))
    {
        return rate;
    }
    auto const time =
        std::max(to_seconds(now - entry.surge_began_), min_surge_seconds);
    double const mean = entry.surge_work_ / time;
    if (time >= settled_surge_seconds)
    {
        // A few large jobs move the average, a change of the load both.
        return (rate + mean) / 2;
    }
    return std::max(
        {rate, mean, entry.expected_surge_rate_ * expected_surge_share});
}

void demand_estimator::evict_seen_jobs(time_point now)
{
    if (now < next_eviction_)
    {
        return;
    }
    next_eviction_ = now + repeat_time / 4;
    for (auto place = last_seen_.begin(); place != last_seen_.end();)
    {
        place = now - place->second > repeat_time ? last_seen_.erase(place)
                                                  : std::next(place);
    }
}

} // namespace cuminfold
