#ifndef CUMINFOLD_NODE_NODE_SETTINGS_HPP
#define CUMINFOLD_NODE_NODE_SETTINGS_HPP

#include "kernel/cell/cell.hpp"
#include "kernel/time.hpp"
#include "node/forward_limit.hpp"
#include "transport/http_server.hpp"
#include "transport/program.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
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
    /// A call to the owner that has no answer after this time is checked: the
    /// owner is asked whether it executes it.
    duration call_check_delay_ = std::chrono::milliseconds{250};
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
    /// Part of it that the process takes without jobs and connections.
    std::uint32_t process_memory_mb_ = 24;
    /// Bytes that the connections of all listeners may hold, in MB; 0: half of
    /// what jobs and the process leave.
    std::uint32_t connection_memory_mb_ = 0;
    /// Limits of a request's body as it is sent: of one chunk's head with its
    /// extensions or all trailers, and of the whole, in bytes.
    std::uint32_t max_chunk_head_bytes_ = 16'384;
    std::uint32_t max_encoded_body_bytes_ = 4'194'304;
    /// Connections of each listener. Together, with 64 each that are open only
    /// to be rejected, they stay below 4,100 descriptors, the fewest that the
    /// platform gives.
    std::uint32_t max_client_connections_ = 2000;
    std::uint32_t max_peer_connections_ = max_peer_connections;
    std::uint32_t max_health_connections_ = 256;

    /// Bytes that the connections of all listeners may hold. By default half of
    /// what is left: the allocator keeps up to as much again in free blocks of
    /// other sizes (measured: 1.0 to 2.0 resident bytes for each byte held).
    std::size_t connection_bytes() const noexcept
    {
        constexpr std::size_t bytes_per_mb = 1024 * 1024;
        constexpr std::uint32_t min_mb = 4;
        std::uint32_t const without_jobs = memory_mb_ / 2;
        std::uint32_t const left = without_jobs > process_memory_mb_
                                       ? without_jobs - process_memory_mb_
                                       : 0;
        return bytes_per_mb * (connection_memory_mb_ != 0
                                   ? connection_memory_mb_
                                   : std::max(left / 2, min_mb));
    }

    /// Sets what the settings say of the requests of every listener.
    void limit_requests(http_server_limits& limits) const noexcept
    {
        limits.chunk_head_bytes_ = max_chunk_head_bytes_;
        limits.encoded_body_bytes_ = max_encoded_body_bytes_;
    }

    /// Processor capacity of the process in thousandths of a core.
    std::int64_t cpu_milli() const noexcept
    {
        constexpr double milli = 1000;
        return static_cast<std::int64_t>(cpu_share_ * cpu_speed_ * milli);
    }
};

} // namespace cuminfold

#endif
