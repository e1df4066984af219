#ifndef CUMINFOLD_KERNEL_CELL_OWNER_RECORD_HPP
#define CUMINFOLD_KERNEL_CELL_OWNER_RECORD_HPP

#include "kernel/time.hpp"

#include <cstdint>
#include <string>

namespace cuminfold
{

/// Orders owners: a higher epoch is a later one. No two owners share one.
using owner_epoch = std::uint64_t;

/// What the owner of a cell says of itself in the store.
struct owner_record
{
    owner_epoch epoch_ = 0;
    std::string node_;
    /// Where its peers reach it, `IP:PORT`.
    std::string address_;
    /// Rises while it lives.
    std::uint64_t heartbeat_ = 0;
    /// It has handed the cell over and gives no more orders.
    bool resigned_ = false;
};

/// What a node says of itself in the store.
struct node_record
{
    /// Where its peers reach it, `IP:PORT`.
    std::string address_;
    /// Thousandths of a core that it may use.
    std::int64_t cpu_milli_ = 0;
};

/// A node's answer to a health check of a peer.
struct peer_ping
{
    std::string node_;
    /// One life of the process.
    std::uint64_t incarnation_ = 0;
    /// The newest owner that it knows of.
    owner_epoch epoch_ = 0;
    std::string owner_address_;
    bool owning_ = false;
    /// Time since the owner last reached the store.
    duration unconfirmed_{0};
};

} // namespace cuminfold

#endif
