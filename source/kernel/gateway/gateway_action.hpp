#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_ACTION_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_ACTION_HPP

#include "kernel/gateway/gateway_event.hpp"
#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/outcome.hpp"
#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <variant>

/// Actions that the gateway's kernel returns for its adapters to perform.

namespace cuminfold
{

/// Sends the request's body to a worker.
struct dispatch_to_worker
{
    dispatch_number dispatch_ = 0;
    request_id request_;
    vm_id vm_;
    std::string address_;
    service_name service_;
    /// Time left.
    duration deadline_{0};
    bool urgent_ = false;
};

/// Sends the request to another gateway.
struct forward_to_gateway
{
    dispatch_number dispatch_ = 0;
    request_id request_;
    std::string address_;
    service_name service_;
    team_name team_;
    std::string key_;
    bool idempotent_ = false;
    /// Time left.
    duration deadline_{0};
    bool urgent_ = false;
    /// Gateways that the request has passed, this one included.
    std::uint32_t hops_ = 0;
};

/// Cancels a dispatch: its connection is closed and not reused.
struct close_dispatch
{
    dispatch_number dispatch_ = 0;
};

/// Answers a request with the worker's reply to the dispatch.
struct send_answer
{
    request_id request_;
    dispatch_number dispatch_ = 0;
};

/// Answers a request with the stored answer of an earlier run of its key.
struct send_kept_answer
{
    request_id request_;
    std::uint32_t status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// Refuses a request that provably did not run.
struct send_refusal
{
    request_id request_;
    not_run refusal_;
};

/// Answers a request that may have run: its outcome is unknown.
struct send_unknown
{
    request_id request_;
    outcome_unknown outcome_;
};

/// Answers a job's submission or cancellation once its record was read back.
/// The adapter reads the job from the folded fleet state.
struct send_job
{
    request_id request_;
    job_id job_;
};

/// Reports to the controllers that a VM seems to be leaving.
struct report_hint
{
    vm_hint hint_;
};

/// Increments the counter of a reason.
struct count_gateway_reason
{
    reason cause_ = reason::total;
};

/// The stop is complete; the process may exit.
struct gateway_stopped
{
};

using gateway_action =
    std::variant<log_read, log_append, dispatch_to_worker, forward_to_gateway,
                 close_dispatch, send_answer, send_kept_answer, send_refusal,
                 send_unknown, send_job, report_hint, count_gateway_reason,
                 gateway_stopped>;

} // namespace cuminfold

#endif
