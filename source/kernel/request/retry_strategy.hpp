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

/// What a retry strategy sees of a request whose attempt ended.
struct retry_view
{
    /// Attempts made so far.
    std::uint32_t attempts_ = 0;
    /// Time until the deadline.
    duration time_left_{0};
    /// Time that the service usually takes.
    duration service_{0};
};

/// Decides whether and when a request is tried again. It is asked only about
/// requests that may run twice or are proved not started.
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

    /// True if each retry needs a token of the pool's budget.
    virtual bool budgeted() const = 0;

    /// True if a slow attempt is given up early so that another can be made,
    /// and no worker is tried twice.
    virtual bool changes_worker() const = 0;
};

} // namespace cuminfold

#endif
