#ifndef CUMINFOLD_KERNEL_CELL_ADAPTIVE_TIMEOUT_HPP
#define CUMINFOLD_KERNEL_CELL_ADAPTIVE_TIMEOUT_HPP

#include "kernel/time.hpp"

#include <algorithm>
#include <cstdint>

namespace cuminfold
{

/// Learns how long a dependency takes to answer, and from that how long an
/// answer is worth waiting for before the call is repeated.
///
/// Only for calls that may be repeated without harm. After a call without an
/// answer the time doubles, so that a slow dependency is not flooded.
class adaptive_timeout
{
public:
    adaptive_timeout(duration min_timeout, duration max_timeout)
        : min_timeout_(min_timeout), max_timeout_(max_timeout)
    {
    }

    void answered(duration taken)
    {
        smoothed_response_time_ +=
            (taken - smoothed_response_time_) / smoothing_divisor;
        // Slowness is learned at once, speed bit by bit.
        smoothed_response_time_ = std::max(smoothed_response_time_, taken / 2);
        doublings_ = 0;
    }

    void unanswered()
    {
        doublings_ = std::min(doublings_ + 1, max_doublings);
    }

    duration timeout() const
    {
        auto const time = std::chrono::duration_cast<duration>(
            smoothed_response_time_ * timeout_factor * (1LL << doublings_));
        return std::clamp(time, min_timeout_, max_timeout_);
    }

private:
    static constexpr std::int64_t smoothing_divisor = 8;
    /// Answers take up to this many times the usual time.
    static constexpr std::int64_t timeout_factor = 6;
    static constexpr int max_doublings = 6;

    duration min_timeout_;
    duration max_timeout_;
    duration smoothed_response_time_{0};
    int doublings_ = 0;
};

} // namespace cuminfold

#endif
