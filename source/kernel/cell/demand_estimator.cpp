#include "kernel/cell/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace cuminfold
{

namespace
{

/// Time constant of the moving average. It is short because the load of a
/// queue changes between high and low within seconds.
constexpr double smoothing_seconds = 0.6;
/// A surge is this many jobs within `surge_time`.
constexpr std::size_t surge_jobs = 4;
constexpr duration surge_time = std::chrono::milliseconds{500};
/// The moving average follows a surge after this time. Until then the rate is
/// computed from the start of the surge.
constexpr double surge_rise_seconds = 0.9;
/// Lower bound on the divisor of a surge's mean rate, which would be far too
/// high over its first few milliseconds.
constexpr double min_surge_seconds = 0.25;
/// Time constant with which the rate of the previous surge decays, and the
/// share of the decayed rate that is expected of the next surge.
constexpr double surge_rate_decay_seconds = 60;
constexpr double expected_surge_share = 0.8;
/// Clients submit a refused job again within this time.
constexpr duration repeat_time = std::chrono::seconds{6};

} // namespace

bool demand_estimator::add(pool_name const& pool, job_id const& job,
                           double work, time_point now)
{
    evict_seen_jobs(now);
    auto const seen = last_seen_.emplace(job.text(), now);
    if (!seen.second)
    {
        seen.first->second = now;
        return false;
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
        if (time > surge_rise_seconds)
        {
            // The mean, because the sizes of single jobs differ widely.
            entry.surge_rate_ = entry.surge_work_ / time;
            entry.surge_rate_at_ = now;
        }
    }
    return true;
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
    if (time >= surge_rise_seconds)
    {
        // A few large jobs raise only the moving average; a change of the
        // load raises both.
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
