#ifndef CUMINFOLD_KERNEL_MESSAGE_HPP
#define CUMINFOLD_KERNEL_MESSAGE_HPP

#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/record.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// The messages between the system's own processes.

namespace cuminfold
{

inline constexpr std::uint32_t message_version = 1;

enum class node_role
{
    gateway,
    controller
};

/// First message on a connection, from both sides.
struct hello
{
    std::uint32_t version_ = message_version;
    incarnation node_;
    node_role role_ = node_role::controller;
    data_centre_name data_centre_;
    std::string address_;
};

/// What one node believes of another.
enum class member_status
{
    alive,
    suspected,
    left
};

/// News of one member, passed on in heartbeats.
struct member_update
{
    incarnation node_;
    node_role role_ = node_role::controller;
    data_centre_name data_centre_;
    std::string address_;
    member_status status_ = member_status::alive;
    /// Grows with each news that the member itself gives.
    std::uint64_t version_ = 0;
    /// How far it is known to have applied the stream `config`.
    log_offset config_next_ = 0;
};

/// How far a node has read.
struct applied_offsets
{
    log_offset config_next_ = 0;
    log_offset fleet_next_ = 0;
};

/// How long ago a data centre was heard.
struct heard_data_centre
{
    data_centre_name data_centre_;
    duration ago_{0};
};

/// Sent at intervals; carries only what has changed, and a digest of the
/// whole, so that a receiver that misses something asks for it.
struct heartbeat
{
    incarnation from_;
    std::uint64_t sequence_ = 0;
    applied_offsets applied_;
    std::uint64_t members_digest_ = 0;
    std::vector<member_update> updates_;
    /// Whether the sender reaches the platform's log itself.
    bool log_reachable_ = false;
    /// What the sender, or a node that it hears, heard of data centres.
    std::vector<heard_data_centre> heard_;
};

/// Asks for all that the receiver knows of the members.
struct members_request
{
    incarnation from_;
};

/// A first sign that a VM is leaving or down, before the log says so.
struct vm_hint
{
    vm_id vm_;
    bool leaving_ = false;
};

/// A log read passed through a controller.
struct relayed_read
{
    std::uint64_t ticket_ = 0;
    log_read read_;
};

struct relayed_read_result
{
    std::uint64_t ticket_ = 0;
    log_read_result result_;
};

/// An append passed through a controller.
struct relayed_append
{
    std::uint64_t ticket_ = 0;
    log_append append_;
};

struct relayed_append_result
{
    std::uint64_t ticket_ = 0;
    log_append_result result_;
};

/// Asks for a state when the log has a gap or cannot be reached.
struct state_request
{
    stream_name stream_;
    log_offset at_least_ = 0;
};

/// One chunk of a peer's state.
struct state_reply
{
    incarnation from_;
    snapshot_chunk chunk_;
};

using message_body =
    std::variant<hello, heartbeat, members_request, vm_hint, relayed_read,
                 relayed_read_result, relayed_append, relayed_append_result,
                 state_request, state_reply>;

/// One message.
struct message
{
    message_body body_;
};

} // namespace cuminfold

#endif
