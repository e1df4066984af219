#ifndef CUMINFOLD_NODE_FORWARD_LIMIT_HPP
#define CUMINFOLD_NODE_FORWARD_LIMIT_HPP

#include "kernel/cell/owner_record.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cuminfold
{

/// Connections that a node accepts from its peers by default. Idle ones were
/// measured at 7 KB, ones with 2000 bytes of a body at 11 KB: 11 MB of the 160
/// MB of the smallest entry VM. With 2000 connections of clients there are 1000
/// of its 4,100 descriptors left for workers and the store.
constexpr std::size_t max_peer_connections = 1024;
/// Connections of all nodes together that forward calls, at most. The rest is
/// for pings, metrics, idle connections and nodes that have registered since.
constexpr std::size_t max_forwarding_connections = 768;
/// Connections to one address of `http_client`, by default.
constexpr std::size_t max_forwarded_calls_per_node = 64;
/// Enough to use the owner well: at 10 ms a call, two connections carry 200
/// calls a second.
constexpr std::size_t min_forwarded_calls_per_node = 2;

/// How many calls one of `nodes` nodes may forward to the owner at a time, so
/// that all of them together stay below the limit of the owner's peer server.
constexpr std::size_t max_forwarded_calls(std::size_t nodes)
{
    return std::clamp(
        max_forwarding_connections / std::max<std::size_t>(nodes, 1),
        min_forwarded_calls_per_node, max_forwarded_calls_per_node);
}

/// Bounds the calls that a node forwards at a time. Further ones wait in order
/// at this node, where they hold a client's connection anyway, and not at an
/// owner that all nodes call at once.
class forward_limit
{
public:
    void set_limit(std::size_t limit)
    {
        limit_ = limit;
    }

    /// Counts a call that is about to be forwarded to the owner of `epoch`.
    /// @return false if it has to wait
    bool try_begin(owner_epoch epoch)
    {
        if (epoch != epoch_)
        {
            // Calls to an earlier owner use no connection of this one.
            epoch_ = epoch;
            in_flight_ = 0;
        }
        if (in_flight_ >= limit_)
        {
            return false;
        }
        ++in_flight_;
        return true;
    }

    /// A call that `try_begin()` counted has ended or was cancelled.
    void ended(owner_epoch epoch)
    {
        if (epoch == epoch_ && in_flight_ > 0)
        {
            --in_flight_;
        }
    }

    /// Adds a request that waits for its turn.
    void wait(std::uint64_t exchange)
    {
        waiting_.push_back(exchange);
    }

    /// Removes the request that has waited longest, if a call may begin.
    std::optional<std::uint64_t> next()
    {
        if (in_flight_ >= limit_ || waiting_.empty())
        {
            return std::nullopt;
        }
        auto const exchange = waiting_.front();
        waiting_.pop_front();
        return exchange;
    }

private:
    std::size_t limit_ = max_forwarded_calls_per_node;
    std::size_t in_flight_ = 0;
    owner_epoch epoch_ = 0;
    std::deque<std::uint64_t> waiting_;
};

} // namespace cuminfold

#endif
