#ifndef CUMINFOLD_KERNEL_CELL_RECENT_LATENCY_HPP
#define CUMINFOLD_KERNEL_CELL_RECENT_LATENCY_HPP

#include "kernel/time.hpp"

#include <deque>

namespace cuminfold
{

/// The longest response time of the calls to a dependency that were answered
/// within a time window.
class recent_latency
{
public:
    explicit recent_latency(duration window) : window_(window) {}

    /// Records a call that was answered at `now`.
    void answered(duration response_time, time_point now)
    {
        while (!samples_.empty() && now - samples_.front().at_ > window_)
        {
            samples_.pop_front();
        }
        // An earlier and shorter response time can no longer be the longest.
        while (!samples_.empty() &&
               samples_.back().response_time_ <= response_time)
        {
            samples_.pop_back();
        }
        samples_.push_back({now, response_time});
    }

    /// The longest response time within the window; 0 without any call.
    duration longest(time_point now) const
    {
        for (auto const& each : samples_)
        {
            if (now - each.at_ <= window_)
            {
                return each.response_time_;
            }
        }
        return duration{0};
    }

private:
    struct sample
    {
        time_point at_;
        duration response_time_;
    };

    duration window_;
    /// In order of time, with decreasing response times.
    std::deque<sample> samples_;
};

} // namespace cuminfold

#endif
