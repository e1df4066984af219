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

/// The properties of one worker that a routing strategy decides by.
struct worker_view
{
    /// Maximum number of this gateway's dispatches to the worker.
    std::uint32_t limit_ = 0;
    /// This gateway's dispatches in flight to the worker; below `limit_`.
    std::uint32_t in_flight_ = 0;
    /// Slots in use by other clients, by the load that the worker last echoed.
    std::uint32_t used_by_others_ = 0;
    /// True if the last echo is recent enough for `used_by_others_` to count.
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

    /// Index of the chosen worker; empty: none should get a request now.
    /// @param workers At least one.
    /// @param gateways Number of gateways that share the workers' slots, at
    /// least 1.
    virtual std::optional<std::size_t>
    choose(std::vector<worker_view> const& workers, std::uint32_t gateways,
           std::mt19937_64& random) = 0;
};

} // namespace cuminfold

#endif
