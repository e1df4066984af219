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

/// Settings of the program of an entry VM.
struct node_settings
{
    std::string name_;
    std::string data_centre_;
    std::string clients_address_; ///< `IP:PORT` for clients
    std::string health_address_;  ///< `IP:PORT` for the load balancer
    std::string peers_address_;   ///< `IP:PORT` for other nodes
    /// Address published to other nodes in place of `peers_address_`, for
    /// nodes behind a proxy or address translation; empty: `peers_address_`.
    std::string announced_address_;
    std::string store_address_;    ///< `IP:PORT` of the platform's store
    std::string machines_address_; ///< `IP:PORT` of the platform's list of VMs
    /// Address of the service that knows which workers a queue's policy
    /// allows; empty: there is no such service.
    std::string advice_address_;
    /// Share of a core that the process may use, and that core's speed as a
    /// multiple of a standard core's.
    double cpu_share_ = 1;
    double cpu_speed_ = 1;
    log_settings log_;
    /// Timeouts of one call to the store, a worker or another node, in addition
    /// to the time for which the receiver may hold the answer back.
    duration store_timeout_ = std::chrono::milliseconds{1500};
    duration worker_timeout_ = std::chrono::milliseconds{200};
    duration peer_timeout_ = std::chrono::milliseconds{400};
    /// After SIGTERM the node keeps serving for at least this long, so that
    /// the load balancer can stop routing to it...
    duration stop_time_ = std::chrono::milliseconds{2600};
    /// ...and until all requests are answered, but at most for this long.
    duration stop_limit_ = std::chrono::milliseconds{5300};
    /// Upper bound of a lease; given by the platform.
    duration longest_lease_ = std::chrono::milliseconds{10'000};
    /// Time after a stop request within which the run ends; given by the
    /// platform.
    duration stop_grace_ = std::chrono::milliseconds{400};
    /// How long a worker still accepts tasks after it has announced a drain;
    /// given by the platform.
    duration drain_notice_ = std::chrono::milliseconds{2000};
    duration vm_order_timeout_ = std::chrono::milliseconds{400};
    /// Minimum time between two owners' orders for the same VM; given by the
    /// platform.
    duration order_pause_ = std::chrono::milliseconds{3000};
    /// Limits of a record in the store and of one append, in bytes; given by
    /// the platform.
    std::uint32_t max_record_bytes_ = 262'144;
    std::uint32_t max_append_bytes_ = 2'097'152;
    job_ranking_use overload_ranking_ = job_ranking_use::with_workspaces;
    /// How long after a key was revoked a request with it may still succeed;
    /// given by the platform. 0: no such limit.
    duration key_revocation_limit_{0};
    /// Memory that the process may use, in MB; given by the platform. Jobs that
    /// need more than half of it are refused.
    std::uint32_t memory_mb_ = 256;

    /// Processor capacity of the process in thousandths of a core.
    std::int64_t cpu_milli() const noexcept
    {
        constexpr double milli = 1000;
        return static_cast<std::int64_t>(cpu_share_ * cpu_speed_ * milli);
    }
};

} // namespace cuminfold

#endif
