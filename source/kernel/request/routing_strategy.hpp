#ifndef CUMINFOLD_KERNEL_REQUEST_ROUTING_STRATEGY_HPP
#define CUMINFOLD_KERNEL_REQUEST_ROUTING_STRATEGY_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cuminfold
{

/// What a routing strategy sees of one worker that may take a request.
struct worker_view
{
    /// Dispatches of this gateway that the worker may hold at most.
    std::uint32_t limit_ = 0;
    /// Dispatches of this gateway that it holds; below `limit_`.
    std::uint32_t in_flight_ = 0;
    /// Slots that others hold, by the load that the worker last echoed.
    std::uint32_t used_by_others_ = 0;
    /// True if an echo is fresh enough to tell `used_by_others_`.
    bool echoed_ = false;
};

/// Chooses the worker of a request.
class routing_strategy
{
public:
    using factory = std::function<std::unique_ptr<routing_strategy>()>;

    static char const* kind()
    {
        return "routing strategy";
    }

    virtual ~routing_strategy() = default;

    /// Index of the chosen worker; empty: all should be left alone now.
    /// @param gateways Gateways that share the workers' slots, at least 1.
    virtual std::optional<std::size_t>
    choose(std::vector<worker_view> const& workers, std::uint32_t gateways,
           std::mt19937_64& random) = 0;
};

} // namespace cuminfold

#endif
