#include "kernel/request/worker_health.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// A probed worker is healthy again at this number of concurrent dispatches.
constexpr std::uint32_t recovered_limit = 16;

} // namespace

void worker_health::count(time_point now, bool succeeded)
{
    decay(now);
    double const kept = 1 - 1 / options_->sample_window_;
    counts_.succeeded_ *= kept;
    counts_.failed_ *= kept;
    if (!succeeded)
    {
        counts_.failed_ += 1;
        return;
    }
    counts_.succeeded_ += 1;
    if (probing())
    {
        probe_limit_ *= 2;
        if (probe_limit_ >= recovered_limit)
        {
            probe_limit_ = 0;
            ejection_ = duration{0};
        }
    }
}

bool worker_health::failing() const
{
    if (probing())
    {
        return counts_.failed_ > 0;
    }
    return counts_.failed_ >= options_->min_failures_ &&
           counts_.failure_ratio() >= options_->min_failure_ratio_;
}

void worker_health::eject(time_point now)
{
    ejection_ = std::clamp(ejection_ * 2, options_->ejection_first_,
                           options_->ejection_limit_);
    ejected_until_ = now + ejection_;
    probe();
}

std::uint32_t worker_health::limit(std::uint32_t slots) const
{
    return probing() ? std::min(slots, probe_limit_) : slots;
}

void worker_health::probe()
{
    probe_limit_ = 1;
    counts_ = dispatch_counts{};
}

void worker_health::decay(time_point now)
{
    while (now - decayed_at_ >= options_->half_life_)
    {
        // After 20 half-lives the counts are negligible.
        if (now - decayed_at_ > 20 * options_->half_life_)
        {
            decayed_at_ = now;
            counts_ = dispatch_counts{};
            return;
        }
        decayed_at_ += options_->half_life_;
        counts_.succeeded_ /= 2;
        counts_.failed_ /= 2;
    }
}

} // namespace cuminfold
