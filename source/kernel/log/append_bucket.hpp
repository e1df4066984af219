#ifndef CUMINFOLD_KERNEL_LOG_APPEND_BUCKET_HPP
#define CUMINFOLD_KERNEL_LOG_APPEND_BUCKET_HPP

#include "kernel/time.hpp"

#include <algorithm>
#include <cstdint>

namespace cuminfold
{

/// Token bucket of one process's appends to the log, over all its streams.
///
/// Half of the burst is kept for records that decide something; records of
/// low value start an append only above that.
class append_bucket
{
public:
    /// @param rate appends per second; 0: no limit
    /// @param burst appends that may follow each other at once
    append_bucket(std::uint32_t rate, std::uint32_t burst)
        : rate_(rate), burst_(std::max<std::uint32_t>(burst, 1)),
          tokens_(burst_)
    {
    }

    /// Takes one token.
    /// @return false if there is none for an append of that value
    bool take(time_point now, bool low_value)
    {
        if (rate_ == 0)
        {
            return true;
        }
        refill(now);
        double const kept = low_value ? burst_ / 2.0 : 0.0;
        if (tokens_ - 1.0 < kept)
        {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    void refill(time_point now)
    {
        if (started_ && now > last_)
        {
            std::chrono::duration<double> const passed = now - last_;
            tokens_ =
                std::min<double>(burst_, tokens_ + passed.count() * rate_);
        }
        last_ = started_ ? std::max(last_, now) : now;
        started_ = true;
    }

    std::uint32_t rate_;
    std::uint32_t burst_;
    double tokens_;
    bool started_ = false;
    time_point last_{};
};

} // namespace cuminfold

#endif
