#include "kernel/cell/demand_meter.hpp"

#include <cmath>

namespace cuminfold
{

namespace
{

/// Time constant of the moving average: short, since queues change between
/// much and little within seconds.
constexpr double smoothing_seconds = 0.6;
/// Clients repeat a refused job no longer than this.
constexpr duration repeat_time = std::chrono::seconds{6};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void demand_meter::add(pool_name const& pool, job_id const& job, double work,
                       time_point now)
{
    forget(now);
    auto const seen = seen_.emplace(job.text(), now);
    if (!seen.second)
    {
        seen.first->second = now;
        return;
    }
    auto& entry = rates_[pool];
    entry.rate_ = rate(pool, now) + work / smoothing_seconds;
    entry.at_ = now;
}

double demand_meter::rate(pool_name const& pool, time_point now) const
{
    auto const found = rates_.find(pool);
    if (found == rates_.end())
    {
        return 0;
    }
    double const age = seconds(now - found->second.at_);
    return found->second.rate_ * std::exp(-age / smoothing_seconds);
}

void demand_meter::forget(time_point now)
{
    if (now < next_forget_)
    {
        return;
    }
    next_forget_ = now + repeat_time / 4;
    for (auto place = seen_.begin(); place != seen_.end();)
    {
        place = now - place->second > repeat_time ? seen_.erase(place)
                                                  : std::next(place);
    }
}

} // namespace cuminfold
