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

/// What goes into the controller's kernel.

namespace cuminfold
{

/// Time passes.
struct tick
{
    wall_time wall_;
};

/// How the platform lists a VM.
enum class listed_state
{
    live,
    leaving,
    gone
};

/// One line of the platform's list.
struct listed_vm
{
    vm_id vm_;
    std::string address_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
    listed_state state_ = listed_state::live;
    /// True for entry VMs, which run this system and no work.
    bool entry_ = false;
};

/// The platform's list; it lags.
struct vm_list
{
    /// Grows with each change of the list.
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
    /// The worker stopped it on request, with the checkpoint in `detail_`.
    bool stopped_ = false;
    std::string checkpoint_;
    std::string detail_;
};

/// A worker's answer to a probe, or that there was none.
struct probe_result
{
    vm_id vm_;
    bool answered_ = false;
    bool healthy_ = false;
    /// Changes with each start of the VM.
    std::uint64_t boot_ = 0;
    std::uint32_t busy_slots_ = 0;
    std::vector<task_report> tasks_;
};

/// What the platform is asked to do to a VM.
enum class platform_call_kind
{
    reboot
};

/// The reply to a call, or that there was none.
struct platform_call_result
{
    vm_id vm_;
    platform_call_kind kind_ = platform_call_kind::reboot;
    std::string token_;
    bool replied_ = false;
    bool accepted_ = false;
};

/// What a worker is asked to do with a task.
enum class task_call_kind
{
    start,
    renew, ///< prolongs the lease
    checkpoint_and_stop,
    stop
};

/// The reply to a task call, or that there was none.
struct task_call_result
{
    vm_id vm_;
    task_call_kind kind_ = task_call_kind::start;
    job_id job_;
    std::uint32_t attempt_ = 0;
    /// No byte was sent, so nothing can have started.
    bool not_sent_ = false;
    bool replied_ = false;
    bool accepted_ = false;
    /// The worker said that a start did not start anything.
    bool not_started_ = false;
    std::string detail_;
};

/// A message from another of the system's processes.
struct peer_message
{
    incarnation from_;
    message message_;
};

/// A connection to another process is gone.
struct peer_disconnected
{
    node_id node_;
};

/// The platform answered a read that was made for a peer.
struct relay_read_done
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_read_result result_;
};

/// The platform answered an append that was made for a peer.
struct relay_append_done
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_append_result result_;
};

/// An operator's change; `ticket_` names it in the reply.
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
