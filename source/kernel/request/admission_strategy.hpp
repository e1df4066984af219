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

/// What an admission strategy sees of a request.
struct admission_view
{
    /// Time until the deadline.
    duration time_left_{0};
    /// Predicted time in the queue.
    duration wait_{0};
    /// Time that the service takes at a high quantile.
    duration service_{0};
    /// Requests of the service that wait.
    std::uint32_t queued_ = 0;
    std::uint32_t queue_limit_ = 0;
};

/// Decides which requests are taken, and which of those that wait are shed.
class admission_strategy
{
public:
    using factory = std::function<std::unique_ptr<admission_strategy>()>;

    static char const* kind()
    {
        return "admission strategy";
    }

    virtual ~admission_strategy() = default;

    /// Why the request is refused; empty: it is taken.
    virtual std::optional<reason> refuse(admission_view const& view) const = 0;

    /// True if a waiting request is refused as soon as the service's time no
    /// longer fits before its deadline; else it waits until the deadline.
    virtual bool sheds_unreachable() const = 0;
};

} // namespace cuminfold

#endif
