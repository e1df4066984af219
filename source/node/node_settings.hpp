#ifndef CUMINFOLD_NODE_NODE_SETTINGS_HPP
#define CUMINFOLD_NODE_NODE_SETTINGS_HPP

#include "kernel/cell/cell.hpp"
#include "kernel/time.hpp"
#include "transport/program.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace cuminfold
{

/// Settings of an entry VM's program.
struct node_settings
{
    std::string name_;
    std::string data_centre_;
    std::string clients_address_; ///< `IP:PORT` for clients
    std::string health_address_;  ///< `IP:PORT` for the balancer
    std::string peers_address_;   ///< `IP:PORT` for other nodes
    /// What other nodes are told instead of the address above; empty: that
    /// one. For nodes behind a proxy or a translated address.
    std::string announced_address_;
    std::string store_address_;
    std::string machines_address_;
    /// Of the service that knows which workers a queue's policy allows; empty:
    /// there is none.
    std::string advice_address_;
    /// The part of a core that the process gets, and how many times a core's
    /// speed that core has.
    double cpu_share_ = 1;
    double cpu_speed_ = 1;
    log_settings log_;
    /// A call to the store that is not answered within this is given up.
    duration store_timeout_ = std::chrono::milliseconds{1500};
    /// The same for a worker.
    duration worker_timeout_ = std::chrono::milliseconds{200};
    duration peer_timeout_ = std::chrono::milliseconds{400};
    /// From SIGTERM on the node serves for this long, in which the balancer
    /// turns away from it...
    duration stop_time_ = std::chrono::milliseconds{2600};
    /// ...and until all requests are answered, but no longer than this.
    duration stop_limit_ = std::chrono::milliseconds{5300};
    /// Bound on a lease, from the platform.
    duration longest_lease_ = std::chrono::milliseconds{10'000};
    /// A run that was asked to stop has ended after this; from the platform.
    duration stop_grace_ = std::chrono::milliseconds{400};
    /// A worker that says it leaves may still be given tasks for this long;
    /// from the platform.
    duration drain_notice_ = std::chrono::milliseconds{2000};
    /// An order for a VM that is not answered within this is given up.
    duration vm_order_timeout_ = std::chrono::milliseconds{400};
    /// Two owners' orders for one VM keep this apart; from the platform.
    duration order_pause_ = std::chrono::milliseconds{3000};

    /// Thousandths of a core.
    std::int64_t cpu_milli() const noexcept
    {
        constexpr double milli = 1000;
        return static_cast<std::int64_t>(cpu_share_ * cpu_speed_ * milli);
    }
};

} // namespace cuminfold

#endif
