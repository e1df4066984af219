#ifndef CUMINFOLD_KERNEL_CELL_OWNER_RECORD_HPP
#define CUMINFOLD_KERNEL_CELL_OWNER_RECORD_HPP

#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfold
{

/// Fencing token of an owner. A later owner has a higher epoch, and no two
/// owners have the same one.
using owner_epoch = std::uint64_t;

/// The record in which the owner of a cell announces itself in the store.
struct owner_record
{
    owner_epoch epoch_ = 0;
    std::string node_;
    /// Address for requests of its peers, `IP:PORT`.
    std::string address_;
    /// Incremented at each renewal of the record.
    std::uint64_t heartbeat_ = 0;
    /// The owner has released the cell and sends no more orders.
    bool resigned_ = false;
};

/// The record in which a node registers itself in the store.
struct node_record
{
    /// Address for requests of its peers, `IP:PORT`.
    std::string address_;
    /// Processor time available to the node, in thousandths of a core.
    std::int64_t cpu_milli_ = 0;
};

/// A node's response to a health check of a peer.
struct peer_ping
{
    std::string node_;
    /// Identifies one incarnation of the process.
    std::uint64_t incarnation_ = 0;
    /// The most recent owner that the node knows.
    owner_epoch epoch_ = 0;
    std::string owner_address_;
    /// The node itself is the owner.
    bool owning_ = false;
    /// Time since the owner last reached the store.
    duration unconfirmed_{0};
};

/// Calls that one incarnation of a node has forwarded to a peer.
struct forwarded_calls
{
    std::uint64_t incarnation_ = 0;
    std::vector<std::uint64_t> numbers_;
};

} // namespace cuminfold

#endif
