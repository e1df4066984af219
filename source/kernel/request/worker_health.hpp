#ifndef CUMINFOLD_KERNEL_REQUEST_WORKER_HEALTH_HPP
#define CUMINFOLD_KERNEL_REQUEST_WORKER_HEALTH_HPP

#include "kernel/request/request_options.hpp"
#include "kernel/time.hpp"

#include <cstdint>

namespace cuminfold
{

/// Weighted counts of dispatches; the weight decays with age.
struct dispatch_counts
{
    double succeeded_ = 0;
    double failed_ = 0;

    double total() const noexcept
    {
        return succeeded_ + failed_;
    }
    /// Failures per dispatch, 0 to 1; 0 without dispatches.
    double failure_ratio() const noexcept
    {
        return total() > 0 ? failed_ / total() : 0;
    }
};

/// Outlier detection for one worker, based on the results of its recent
/// dispatches.
///
/// healthy -> ejected (for a time that doubles) -> probing with one dispatch
/// at a time, then two, four and so on -> healthy. `worker_table` decides on
/// the ejection, as it also sees the pool's other workers.
class worker_health
{
public:
    explicit worker_health(health_options const& options) : options_(&options)
    {
    }

    /// Counts a dispatch that ended. A success while probing doubles the
    /// dispatch limit; at the recovery limit the worker is healthy again.
    void count(time_point now, bool succeeded);

    /// True if the worker's failures reach the thresholds; while probing, one
    /// failure does.
    bool failing() const;

    /// Starts an ejection. Its duration doubles up to the limit with each
    /// ejection until the worker has recovered.
    void eject(time_point now);

    /// True while the worker gets no request.
    bool ejected(time_point now) const
    {
        return now < ejected_until_;
    }

    /// True from the start of an ejection or a probe until recovery.
    bool probing() const noexcept
    {
        return probe_limit_ != 0;
    }

    /// Maximum number of concurrent dispatches for a worker of `slots` slots.
    std::uint32_t limit(std::uint32_t slots) const;

    dispatch_counts const& counts() const noexcept
    {
        return counts_;
    }

    /// Limits the worker to one dispatch at a time, without an ejection, and
    /// resets its counts.
    void probe();

private:
    void decay(time_point now);

    health_options const* options_;
    dispatch_counts counts_;
    time_point decayed_at_{};
    time_point ejected_until_{};
    duration ejection_{0};
    /// Concurrent dispatches while probing; 0: not probing.
    std::uint32_t probe_limit_ = 0;
};

} // namespace cuminfold

#endif
