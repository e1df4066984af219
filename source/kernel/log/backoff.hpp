#ifndef CUMINFOLD_KERNEL_LOG_BACKOFF_HPP
#define CUMINFOLD_KERNEL_LOG_BACKOFF_HPP

#include "kernel/time.hpp"

#include <algorithm>
#include <cstdint>
#include <random>

namespace cuminfold
{

/// Capped exponential delays with jitter between half and the whole of each
/// step, so that many clients do not come back at once.
class backoff
{
public:
    backoff(duration first, duration limit, std::uint64_t seed)
        : first_(first), limit_(limit), random_(seed)
    {
    }

    /// The delay after one more failure.
    duration next()
    {
        step_ = std::clamp(step_ * 2, first_, limit_);
        std::uniform_int_distribution<std::int64_t> jitter(step_.count() / 2,
                                                           step_.count());
        return duration{jitter(random_)};
    }

    /// Starts again from the first delay, after a success.
    void reset() noexcept
    {
        step_ = duration{0};
    }

private:
    duration first_;
    duration limit_;
    duration step_{0};
    std::minstd_rand random_;
};

} // namespace cuminfold

#endif
