#ifndef CUMINFOLD_KERNEL_CELL_ADAPTIVE_TIMEOUT_HPP
#define CUMINFOLD_KERNEL_CELL_ADAPTIVE_TIMEOUT_HPP

#include "kernel/time.hpp"

#include <algorithm>
#include <cstdint>

namespace cuminfold
{

/// Computes the timeout of calls to a dependency from its past response times.
///
/// Only for idempotent calls, since a call that timed out is repeated. Each
/// timeout doubles the next one, so that retries do not flood a slow
/// dependency.
class adaptive_timeout
{
public:
    /// @param min_timeout, max_timeout bounds of `timeout()`
    /// @param response_time of the dependency, known from other calls to it
    adaptive_timeout(duration min_timeout, duration max_timeout,
                     duration response_time = duration{0})
        : min_timeout_(min_timeout), max_timeout_(max_timeout)
    {
        answered(response_time);
    }

    /// Records a call that was answered after `response_time`.
    void answered(duration response_time)
    {
        smoothed_response_time_ +=
            (response_time - smoothed_response_time_) / smoothing_divisor;
        // A slower response counts at once, faster ones gradually.
        smoothed_response_time_ =
            std::max(smoothed_response_time_, response_time / 2);
        doublings_ = 0;
    }

    /// Records a call that timed out.
    void unanswered()
    {
        doublings_ = std::min(doublings_ + 1, max_doublings);
    }

    /// The timeout of the next call.
    duration timeout() const
    {
        auto const time = std::chrono::duration_cast<duration>(
            std::max(smoothed_response_time_ * timeout_factor,
                     min_timeout_ / min_timeout_divisor) *
            (1LL << doublings_));
        return std::clamp(time, min_timeout_, max_timeout_);
    }

private:
    static constexpr std::int64_t smoothing_divisor = 8;
    /// Responses take up to this many times the smoothed response time.
    static constexpr std::int64_t timeout_factor = 6;
    static constexpr int max_doublings = 6;
    /// The doublings start from this part of the lower bound at least.
    /// Otherwise response times far below it would need most of them to reach
    /// it.
    static constexpr std::int64_t min_timeout_divisor = 3;

    duration min_timeout_;
    duration max_timeout_;
    duration smoothed_response_time_{0};
    int doublings_ = 0;
};

} // namespace cuminfold

#endif
