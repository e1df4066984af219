#ifndef CUMINFOLD_KERNEL_REQUEST_ADMISSION_STRATEGY_HPP
#define CUMINFOLD_KERNEL_REQUEST_ADMISSION_STRATEGY_HPP

#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cuminfold
{

/// The properties of a request that an admission strategy decides by.
struct admission_view
{
    /// Time until the deadline, less the usual latency of a claim if the
    /// request needs one.
    duration time_left_{0};
    /// Predicted time in the queue; with enough samples corrected by the 99th
    /// percentile of actual to predicted times.
    duration wait_{0};
    /// Run time of the service, 95th percentile; 0 without enough samples.
    duration service_{0};
    /// Number of queued requests of the service.
    std::uint32_t queued_ = 0;
    /// Maximum number of queued requests of one service.
    std::uint32_t queue_limit_ = 0;
};

/// Decides which requests are admitted, and whether queued ones are shed.
class admission_strategy
{
public:
    using factory = std::function<std::unique_ptr<admission_strategy>()>;

    static char const* kind()
    {
        return "admission strategy";
    }

    virtual ~admission_strategy() = default;

    /// The reason to refuse the request; empty: it is admitted.
    virtual std::optional<reason> refuse(admission_view const& view) const = 0;

    /// True if a queued request is refused as soon as the service's run time no
    /// longer fits before its deadline; else it waits until the deadline.
    virtual bool sheds_unreachable() const = 0;
};

} // namespace cuminfold

#endif
