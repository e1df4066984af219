#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_EVENT_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_EVENT_HPP

#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/message.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events that the gateway's kernel handles. The adapter keeps the bodies of
/// requests and replies, by request id and dispatch number.

namespace cuminfold
{

/// Lets the kernel do what is due by time.
struct gateway_tick
{
};

/// A request from a caller or from another gateway, with its body complete.
struct caller_request
{
    request_id request_;
    service_name service_;
    team_name team_;
    /// Value of the header `Idempotency-Key`; empty if absent.
    std::string key_;
    std::uint64_t body_digest_ = 0;
    /// Overrides the service's setting if set.
    std::optional<bool> idempotent_;
    /// Time left; overrides the service's setting if set.
    std::optional<duration> deadline_;
    bool urgent_ = false;
    /// Gateways that forwarded the request.
    std::uint32_t hops_ = 0;
};

/// The caller cancelled its request or disconnected.
struct caller_disconnected
{
    request_id request_;
};

/// A caller submits a job.
struct caller_job
{
    request_id request_;
    job_id job_;
    job_request job_request_;
    /// Time left for the answer.
    duration deadline_{0};
};

/// A caller cancels a job.
struct caller_job_cancel
{
    request_id request_;
    job_id job_;
    /// Time left for the answer.
    duration deadline_{0};
};

/// Identifies one dispatch of one request.
using dispatch_number = std::uint64_t;

/// How a dispatch ended, as the transport observed it.
enum class dispatch_end
{
    answered,     ///< a complete reply that echoes the request id
    worker_error, ///< a complete reply that reports a failed run
    not_started,  ///< the worker or the other gateway reports that it did not
                  ///< run
    not_sent,     ///< no byte was sent
    lost,         ///< the connection broke after bytes were sent
    timeout,
    truncated,
    mismatched,
    too_large
};

/// A dispatch ended.
struct dispatch_result
{
    dispatch_number dispatch_ = 0;
    dispatch_end end_ = dispatch_end::lost;
    std::uint32_t status_ = 0;
    std::string content_type_;
    /// The reply's body, if it is short enough to be stored for repeats.
    std::optional<std::string> short_body_;
    /// Busy slots that the worker reported; negative if it reported none.
    std::int32_t busy_slots_ = -1;
    /// The worker reported that it is leaving.
    bool worker_leaving_ = false;
    /// If another gateway refused the request: its reason, and the time after
    /// which to retry.
    std::optional<reason> cause_;
    duration retry_after_{0};
};

/// The process shall stop: finish the requests in flight and refuse new ones.
struct gateway_stop
{
};

/// A message received from a controller.
struct controller_message
{
    message message_;
};

using gateway_event =
    std::variant<gateway_tick, caller_request, caller_disconnected, caller_job,
                 caller_job_cancel, dispatch_result, gateway_stop,
                 controller_message, log_read_result, log_append_result>;

} // namespace cuminfold

#endif
