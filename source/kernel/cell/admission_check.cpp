#include "kernel/cell/admission_check.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Seconds until a VM that is on its way takes tasks.
constexpr double incoming_delay = 1.4;

double capacity(pool_room const& room, double seconds)
{
    return packing_share *
           (std::max(room.workers_ - room.long_running_, 0.0) * seconds +
            room.incoming_ * std::max(seconds - incoming_delay, 0.0));
}

} // namespace

double excess_work(std::vector<dated_work> ahead, dated_work next,
                   pool_room const& room)
{
    std::sort(ahead.begin(), ahead.end(),
              [](dated_work const& a, dated_work const& b)
              { return a.by_seconds_ < b.by_seconds_; });
    double sum = 0;
    double worst = 0;
    bool counted = false;
    for (auto const& work : ahead)
    {
        if (!counted && work.by_seconds_ > next.by_seconds_)
        {
            counted = true;
            worst = std::max(worst, sum + next.worker_seconds_ -
                                        capacity(room, next.by_seconds_));
        }
        sum += work.worker_seconds_;
        double const spare = capacity(room, work.by_seconds_) - sum;
        if (counted && spare >= 0)
        {
            worst = std::max(worst, next.worker_seconds_ - spare);
        }
    }
    if (!counted)
    {
        worst = std::max(worst, sum + next.worker_seconds_ -
                                    capacity(room, next.by_seconds_));
    }
    return worst;
}

} // namespace cuminfold
