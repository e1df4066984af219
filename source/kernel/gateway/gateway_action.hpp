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

/// What the gateway's kernel asks of its adapters.

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
    duration deadline_{0};
    bool urgent_ = false;
    std::uint32_t hops_ = 0;
};

/// Gives a dispatch up: its connection is closed and never used again.
struct close_dispatch
{
    dispatch_number dispatch_ = 0;
};

/// Answers a request with the reply to a dispatch.
struct send_answer
{
    request_id request_;
    dispatch_number dispatch_ = 0;
};

/// Answers a request with the kept answer of an earlier run.
struct send_kept_answer
{
    request_id request_;
    std::uint32_t status_ = 0;
    std::string content_type_;
    std::string body_;
};

/// Answers a request: it did not run.
struct send_refusal
{
    request_id request_;
    not_run refusal_;
};

/// Answers a request: it may have run.
struct send_unknown
{
    request_id request_;
    outcome_unknown outcome_;
};

/// Answers a job's submission or cancellation: it is recorded. The adapter
/// reads the job from the fold.
struct send_job
{
    request_id request_;
    job_id job_;
};

/// Tells the controllers that a VM shows signs of leaving.
struct report_hint
{
    vm_hint hint_;
};

/// Counts an event, by reason.
struct count_gateway_reason
{
    reason cause_ = reason::total;
};

/// All is finished; the process may exit.
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
