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

/// What goes into the gateway's kernel. Bodies stay with the adapter, which
/// knows them by request and by dispatch.

namespace cuminfold
{

/// Time passes.
struct gateway_tick
{
};

/// A caller's request; its body was read whole.
struct caller_request
{
    request_id request_;
    service_name service_;
    team_name team_;
    /// The `Idempotency-Key`; empty: none.
    std::string key_;
    std::uint64_t body_digest_ = 0;
    /// Empty: the service's setting holds.
    std::optional<bool> idempotent_;
    /// Time left; empty: the service's setting holds.
    std::optional<duration> deadline_;
    bool urgent_ = false;
    /// Gateways that it has come through.
    std::uint32_t hops_ = 0;
};

/// The caller cancelled or disconnected.
struct caller_disconnected
{
    request_id request_;
};

/// A caller's job.
struct caller_job
{
    request_id request_;
    job_id job_;
    job_request job_request_;
    duration deadline_{0};
};

/// A caller cancels a job.
struct caller_job_cancel
{
    request_id request_;
    job_id job_;
    duration deadline_{0};
};

/// Names one dispatch of one request.
using dispatch_number = std::uint64_t;

/// How a dispatch ended, as the transport saw it.
enum class dispatch_end
{
    answered,     ///< a whole reply that echoes the request
    worker_error, ///< a whole reply that says that the run failed
    not_started, ///< the worker, or the other gateway, says that it did not run
    not_sent,    ///< no byte was sent
    lost,        ///< the connection broke after bytes were sent
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
    /// The reply's body if it is short enough to be kept for repeats.
    std::optional<std::string> short_body_;
    /// Slots that the worker says are busy; negative: it did not say.
    std::int32_t busy_slots_ = -1;
    /// The worker said that it is leaving.
    bool worker_leaving_ = false;
    /// When a gateway refused: its reason, and when to come back.
    std::optional<reason> cause_;
    duration retry_after_{0};
};

/// The process is asked to stop: finish what is in flight, take nothing new.
struct gateway_stop
{
};

/// A controller's message, or its loss.
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
