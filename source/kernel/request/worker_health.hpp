#ifndef CUMINFOLD_KERNEL_REQUEST_WORKER_HEALTH_HPP
#define CUMINFOLD_KERNEL_REQUEST_WORKER_HEALTH_HPP

#include "kernel/request/request_options.hpp"
#include "kernel/time.hpp"

#include <cstdint>

namespace cuminfold
{

/// Dispatches that count for a judgement; older ones have less weight.
struct dispatch_counts
{
    double succeeded_ = 0;
    double failed_ = 0;

    double total() const noexcept
    {
        return succeeded_ + failed_;
    }
    /// Share of failures; 0 if nothing counts.
    double failure_ratio() const noexcept
    {
        return total() > 0 ? failed_ / total() : 0;
    }
};

/// Whether one worker gets requests, by how its last dispatches ended.
///
/// healthy -> ejected (for a time that doubles) -> probing with one dispatch
/// at a time, then two, four and so on -> healthy. Whether it may be ejected
/// at all is judged by `worker_table`, which sees the pool's other workers.
class worker_health
{
public:
    explicit worker_health(health_options const& options) : options_(&options)
    {
    }

    /// Counts the end of a dispatch.
    void count(time_point now, bool succeeded);

    /// True if its own failures are enough to be judged by.
    bool failing() const;

    void eject(time_point now);

    /// True while it gets no request.
    bool ejected(time_point now) const
    {
        return now < ejected_until_;
    }

    /// True after an ejection until it has proved itself.
    bool probing() const noexcept
    {
        return probe_limit_ != 0;
    }

    /// Dispatches that it may hold at most, out of `slots`.
    std::uint32_t limit(std::uint32_t slots) const;

    dispatch_counts const& counts() const noexcept
    {
        return counts_;
    }

    /// Starts with one dispatch at a time, without an ejection before it.
    void probe();

private:
    void decay(time_point now);

    health_options const* options_;
    dispatch_counts counts_;
    time_point decayed_at_{};
    time_point ejected_until_{};
    duration ejection_{0};
    std::uint32_t probe_limit_ = 0;
};

} // namespace cuminfold

#endif
