#ifndef CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_EVENT_HPP
#define CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_EVENT_HPP

#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/message.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Events that the controller's kernel handles.

namespace cuminfold
{

/// Periodic timer event.
struct tick
{
    wall_time wall_;
};

/// Status of a VM in the platform's list.
enum class listed_state
{
    live,
    leaving,
    gone
};

/// Entry of the platform's VM list.
struct listed_vm
{
    vm_id vm_;
    std::string address_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
    listed_state state_ = listed_state::live;
    /// True for entry VMs, which run this system's processes and no jobs.
    bool entry_ = false;
};

/// The platform's VM list, which lags behind the VMs' actual state.
struct vm_list
{
    /// Increases with each change of the list.
    std::uint64_t version_ = 0;
    std::vector<listed_vm> vms_;
};

/// A task's state as its worker reports it.
struct task_report
{
    job_id job_;
    std::uint32_t attempt_ = 0;
    bool running_ = false;
    bool finished_ = false;
    bool failed_ = false;
    /// True if the worker stopped the task on request; its checkpoint, if any,
    /// is in `checkpoint_`.
    bool stopped_ = false;
    std::string checkpoint_;
    std::string detail_;
};

/// A worker's answer to a probe. `answered_` is false if none was received.
struct probe_result
{
    vm_id vm_;
    bool answered_ = false;
    bool healthy_ = false;
    /// Boot identifier; changes each time the VM starts.
    std::uint64_t boot_ = 0;
    std::uint32_t busy_slots_ = 0;
    std::vector<task_report> tasks_;
};

/// Operation on a VM that `call_platform` requests.
enum class platform_call_kind
{
    reboot
};

/// The platform's reply to `call_platform`. `replied_` is false if none was
/// received.
struct platform_call_result
{
    vm_id vm_;
    platform_call_kind kind_ = platform_call_kind::reboot;
    std::string token_;
    bool replied_ = false;
    bool accepted_ = false;
};

/// Operation on a task that `call_task` requests.
enum class task_call_kind
{
    start,
    renew, ///< extends the lease
    checkpoint_and_stop,
    stop
};

/// A worker's reply to `call_task`. `replied_` is false if none was received.
struct task_call_result
{
    vm_id vm_;
    task_call_kind kind_ = task_call_kind::start;
    job_id job_;
    std::uint32_t attempt_ = 0;
    /// True if no byte was sent, so that the worker cannot have acted on the
    /// request.
    bool not_sent_ = false;
    bool replied_ = false;
    bool accepted_ = false;
    /// True if the worker confirmed that the request started no task.
    bool not_started_ = false;
    std::string detail_;
};

/// A message from another process of this system.
struct peer_message
{
    incarnation from_;
    message message_;
};

/// The connection to another process closed.
struct peer_disconnected
{
    node_id node_;
};

/// The platform's answer to `relay_read`.
struct relay_read_done
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_read_result result_;
};

/// The platform's answer to `relay_append`.
struct relay_append_done
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_append_result result_;
};

/// A configuration change requested by an operator. The `operator_reply`
/// carries the same `ticket_`.
struct operator_change
{
    std::uint64_t ticket_ = 0;
    config_change change_;
};

using controller_event =
    std::variant<tick, vm_list, probe_result, platform_call_result,
                 task_call_result, peer_message, peer_disconnected,
                 log_read_result, log_append_result, relay_read_done,
                 relay_append_done, operator_change>;

} // namespace cuminfold

#endif
