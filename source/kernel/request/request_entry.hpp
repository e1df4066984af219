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

/// Where a request stands.
enum class request_phase
{
    arrived,
    claiming, ///< its claim is asked for
    queued,
    waiting_retry,
    dispatched,
    forwarded
};

/// One request that has no answer yet.
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
    std::optional<queue_place> place_;
    /// When something is due about it.
    std::optional<time_point> timer_;
    std::uint32_t attempts_ = 0;
    /// Times that a worker said that it is full.
    std::uint32_t requeues_ = 0;
    /// Time in the queue as predicted at its admission, uncorrected.
    duration predicted_wait_{0};
    /// Workers that it was dispatched to.
    std::vector<vm_id> tried_;
    /// The key, while a claim is asked for or held.
    claim_key claim_;
    bool counted_in_team_ = false;
    /// The caller left while its claimed work runs on.
    bool caller_gone_ = false;

    // The open dispatch.
    dispatch_number dispatch_ = 0;
    vm_id vm_;
    std::string gateway_address_;
    time_point dispatched_at_;
};

} // namespace cuminfold

#endif
