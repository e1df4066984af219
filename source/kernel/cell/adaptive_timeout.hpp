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
    adaptive_timeout(duration least, duration most) : least_(least), most_(most)
    {
    }

    void answered(duration taken)
    {
        smoothed_ += (taken - smoothed_) / smoothing;
        // Slowness is learned at once, speed bit by bit.
        smoothed_ = std::max(smoothed_, taken / 2);
        doublings_ = 0;
    }

    void unanswered()
    {
        doublings_ = std::min(doublings_ + 1, most_doublings);
    }

    duration timeout() const
    {
        auto const time = std::chrono::duration_cast<duration>(
            smoothed_ * spread * (1LL << doublings_));
        return std::clamp(time, least_, most_);
    }

private:
    static constexpr std::int64_t smoothing = 8;
    /// Answers take up to this many times the usual time.
    static constexpr std::int64_t spread = 6;
    static constexpr int most_doublings = 6;

    duration least_;
    duration most_;
    duration smoothed_{0};
    int doublings_ = 0;
};

} // namespace cuminfold

#endif
