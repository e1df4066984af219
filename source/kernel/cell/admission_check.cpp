#include "kernel/cell/admission_check.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Seconds until a VM that is moving to the pool accepts tasks.
constexpr double incoming_delay = 1.4;

/// Work in worker-seconds that the pool can do within that time.
double available_work(pool_capacity const& pool, double seconds)
{
    return packing_efficiency *
           (std::max(pool.workers_ - pool.long_running_, 0.0) * seconds +
            pool.incoming_ * std::max(seconds - incoming_delay, 0.0));
}

} // namespace

double available_work(pool_capacity const& pool, duration time)
{
    return available_work(pool, to_seconds(time));
}

double excess_work(std::vector<deadline_work> ahead, deadline_work next,
                   pool_capacity const& pool)
{
    std::sort(ahead.begin(), ahead.end(),
              [](deadline_work const& a, deadline_work const& b)
              { return a.deadline_seconds_ < b.deadline_seconds_; });
    double sum = 0;
    double worst = 0;
    bool counted = false;
    for (auto const& work : ahead)
    {
        if (!counted && work.deadline_seconds_ > next.deadline_seconds_)
        {
            counted = true;
            worst = std::max(worst,
                             sum + next.worker_seconds_ -
                                 available_work(pool, next.deadline_seconds_));
        }
        sum += work.worker_seconds_;
        double const spare = available_work(pool, work.deadline_seconds_) - sum;
        if (counted && spare >= 0)
        {
            worst = std::max(worst, next.worker_seconds_ - spare);
        }
    }
    if (!counted)
    {
        worst =
            std::max(worst, sum + next.worker_seconds_ -
                                available_work(pool, next.deadline_seconds_));
    }
    return worst;
}

} // namespace cuminfold
