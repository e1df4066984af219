#include "kernel/cell/admission_check.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Seconds until a VM that is on its way takes tasks.
constexpr double incoming_delay = 1.4;

double capacity(pool_capacity const& room, double seconds)
{
    return packing_efficiency *
           (std::max(room.workers_ - room.long_running_, 0.0) * seconds +
            room.incoming_ * std::max(seconds - incoming_delay, 0.0));
}

} // namespace

double excess_work(std::vector<deadline_work> ahead, deadline_work next,
                   pool_capacity const& room)
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
            worst = std::max(worst, sum + next.worker_seconds_ -
                                        capacity(room, next.deadline_seconds_));
        }
        sum += work.worker_seconds_;
        double const spare = capacity(room, work.deadline_seconds_) - sum;
        if (counted && spare >= 0)
        {
            worst = std::max(worst, next.worker_seconds_ - spare);
        }
    }
    if (!counted)
    {
        worst = std::max(worst, sum + next.worker_seconds_ -
                                    capacity(room, next.deadline_seconds_));
    }
    return worst;
}

} // namespace cuminfold
