#ifndef CUMINFOLD_KERNEL_REQUEST_RETRY_STRATEGY_HPP
#define CUMINFOLD_KERNEL_REQUEST_RETRY_STRATEGY_HPP

#include "kernel/request/request_options.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace cuminfold
{

/// The properties of a request, after an attempt ended, that a retry strategy
/// decides by.
struct retry_view
{
    /// Attempts made so far.
    std::uint32_t attempts_ = 0;
    /// Time until the deadline.
    duration time_left_{0};
    /// Median run time of the service.
    duration service_{0};
};

/// Decides whether and when a request is retried. It is called only for
/// requests that are idempotent or that are proved not to have started.
class retry_strategy
{
public:
    using factory = std::function<std::unique_ptr<retry_strategy>()>;

    static char const* kind()
    {
        return "retry strategy";
    }

    virtual ~retry_strategy() = default;

    /// Delay before the next attempt; empty: no further attempt.
    virtual std::optional<duration> delay(retry_view const& view,
                                          request_options const& options,
                                          std::mt19937_64& random) const = 0;

    /// True if each retry takes a token from the pool's retry budget.
    virtual bool budgeted() const = 0;

    /// True if a slow attempt times out early so that another can be made, and
    /// if no worker gets the same request twice.
    virtual bool changes_worker() const = 0;
};

} // namespace cuminfold

#endif
