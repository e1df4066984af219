#ifndef CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_ACTION_HPP
#define CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_ACTION_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/controller/controller_event.hpp"
#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/message.hpp"
#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

/// What the controller's kernel asks of its adapters.

namespace cuminfold
{

/// Asks the platform for its list; one question is out at a time.
struct list_vms
{
};

/// Asks a worker how it is.
struct probe_vm
{
    vm_id vm_;
    std::string address_;
};

/// Asks the platform to do something to a VM. The platform does a token once.
struct call_platform
{
    vm_id vm_;
    platform_call_kind kind_ = platform_call_kind::reboot;
    std::string token_;
};

/// Asks a worker to do something with a task. The worker knows a task by its
/// job and attempt, and starts each at most once.
struct call_task
{
    vm_id vm_;
    std::string address_;
    task_call_kind kind_ = task_call_kind::start;
    job_id job_;
    std::uint32_t attempt_ = 0;
    duration lease_{0};
    service_name service_;
    std::string checkpoint_;
    std::string body_;
    duration declared_run_time_{0};
};

/// Sends a message; nothing is heard of its fate.
struct send_message
{
    node_id to_;
    message message_;
};

/// Reads the platform's log for a peer.
struct relay_read
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_read read_;
};

/// Appends to the platform's log for a peer.
struct relay_append
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_append append_;
};

/// Answers `operator_change`.
struct operator_reply
{
    std::uint64_t ticket_ = 0;
    change_outcome outcome_;
    /// The change's fate is not known; the operator reads back.
    bool unknown_ = false;
};

/// Counts an event, by reason.
struct count_reason
{
    reason cause_ = reason::total;
};

using controller_action =
    std::variant<log_read, log_append, list_vms, probe_vm, call_platform,
                 call_task, send_message, relay_read, relay_append,
                 operator_reply, count_reason>;

} // namespace cuminfold

#endif
