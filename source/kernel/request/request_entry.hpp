#ifndef CUMINFOLD_KERNEL_REQUEST_REQUEST_ENTRY_HPP
#define CUMINFOLD_KERNEL_REQUEST_REQUEST_ENTRY_HPP

#include "kernel/gateway/gateway_event.hpp"
#include "kernel/identifier.hpp"
#include "kernel/outcome.hpp"
#include "kernel/request/request_queue.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// The state of a request in progress.
enum class request_phase
{
    arrived,
    claiming, ///< waits until its claim is won or lost
    queued,
    waiting_retry, ///< waits for the delay before a retry
    dispatched,    ///< sent to a worker
    forwarded      ///< sent to another gateway
};

/// One request that has no answer yet, or whose claimed work continues.
struct request_entry
{
    request_number number_ = 0;
    caller_request request_;
    pool_name pool_;
    bool idempotent_ = false;
    time_point arrived_;
    time_point deadline_;
    request_phase phase_ = request_phase::arrived;
    request_progress progress_;
    queue_class class_ = queue_class::normal;
    /// Set while the request is queued.
    std::optional<queue_place> place_;
    /// When the request's timer expires; its meaning depends on the phase.
    std::optional<time_point> timer_;
    /// Dispatches and forwards, without those that a full worker refused and
    /// that were queued again.
    std::uint32_t attempts_ = 0;
    /// How often it returned to the queue because its worker was full.
    std::uint32_t requeues_ = 0;
    /// Predicted time in the queue at admission, before the correction by the
    /// pool's wait ratio.
    duration predicted_wait_{0};
    /// Workers that the request was dispatched to.
    std::vector<vm_id> tried_;
    /// The key of the requested or held claim; empty: none.
    claim_key claim_;
    /// The request counts in its team's quota.
    bool counted_in_team_ = false;
    /// The caller disconnected while its claimed work continues.
    bool caller_gone_ = false;

    // The last dispatch.
    dispatch_number dispatch_ = 0;
    vm_id vm_;
    std::string gateway_address_;
    time_point dispatched_at_;
};

} // namespace cuminfold

#endif
