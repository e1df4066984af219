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

/// Actions that the controller's kernel returns for its adapters to carry out.

namespace cuminfold
{

/// Requests the platform's VM list. At most one request is outstanding.
/// The answer is a `vm_list`.
struct list_vms
{
};

/// Probes a worker's health. The answer is a `probe_result`.
struct probe_vm
{
    vm_id vm_;
    std::string address_;
};

/// Requests an operation on a VM from the platform, which executes each token
/// at most once. The answer is a `platform_call_result`.
struct call_platform
{
    vm_id vm_;
    platform_call_kind kind_ = platform_call_kind::reboot;
    std::string token_;
};

/// Requests an operation on a task from a worker. The worker identifies a task
/// by job and attempt, and starts each at most once. The answer is a
/// `task_call_result`.
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

/// Sends a message to a peer. No event reports whether it was delivered.
struct send_message
{
    node_id to_;
    message message_;
};

/// Reads the platform's log on behalf of peers. The answer is a
/// `relay_read_done`.
struct relay_read
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_read read_;
};

/// Appends to the platform's log on behalf of a peer. The answer is a
/// `relay_append_done`.
struct relay_append
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_append append_;
};

/// Answers the `operator_change` with the same ticket.
struct operator_reply
{
    std::uint64_t ticket_ = 0;
    change_outcome outcome_;
    /// True if it is not known whether the change was stored. The operator must
    /// read the configuration to find out.
    bool unknown_ = false;
};

/// Increments the counter of a reason by one.
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
