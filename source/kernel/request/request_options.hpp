#ifndef CUMINFOLD_KERNEL_REQUEST_REQUEST_OPTIONS_HPP
#define CUMINFOLD_KERNEL_REQUEST_REQUEST_OPTIONS_HPP

#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>

namespace cuminfold
{

/// When a worker is ejected from routing, and how it returns.
struct health_options
{
    /// Effective number of recent dispatches in the failure ratio; each new
    /// dispatch reduces the weight of the older ones.
    double sample_window_ = 10;
    /// Weighted failures from which a worker may be ejected.
    double min_failures_ = 4;
    /// Failure ratio from which a worker may be ejected.
    double min_failure_ratio_ = 0.5;
    /// Minimum excess of the failure ratio over the mean of the pool's other
    /// workers.
    double failure_ratio_margin_ = 0.25;
    /// Maximum ratio of a pool's workers that are ejected at the same time.
    double max_ejected_ratio_ = 0.5;
    /// Time in which counted dispatches lose half of their weight.
    duration half_life_ = std::chrono::seconds{10};
    /// Duration of the first ejection; doubles up to the limit with each
    /// further one until the worker has recovered.
    duration ejection_first_ = std::chrono::seconds{1};
    duration ejection_limit_ = std::chrono::seconds{30};
    /// How long a leaving hint applies unless it is withdrawn.
    duration leaving_hold_ = std::chrono::hours{24};
};

/// The token bucket for retries, one per pool.
struct retry_budget_options
{
    /// Tokens that one success adds.
    double per_success_ = 0.1;
    /// Maximum number of tokens, also the initial one.
    double limit_ = 10;
};

/// How requests are admitted, routed and retried.
struct request_options
{
    health_options health_;
    retry_budget_options retry_budget_;
    /// Maximum number of attempts of one request, including the first one.
    std::uint32_t attempts_ = 3;
    /// Upper bound of the random delay before the first retry; doubles with
    /// each further one.
    duration retry_delay_ = std::chrono::milliseconds{5};
    /// Minimum time that an attempt gets before another one replaces it.
    duration attempt_floor_ = std::chrono::milliseconds{50};
    /// While a service's requests are refused because their deadline is
    /// unreachable and no wait is predicted, one request per interval is
    /// admitted as a probe.
    duration probe_interval_ = std::chrono::milliseconds{250};
    /// How long a worker gets no requests after it reported that it is full;
    /// doubles up to the limit until the worker answers a request.
    duration full_hold_ = std::chrono::milliseconds{5};
    duration full_hold_limit_ = std::chrono::milliseconds{200};
    /// Maximum number of times that a request returns to the queue because its
    /// worker is full.
    std::uint32_t max_requeues_ = 16;
    /// How long an echoed load is used for routing.
    duration echo_lifetime_ = std::chrono::milliseconds{100};
    /// Time subtracted from a forwarded request's deadline for the extra hop.
    duration hop_margin_ = std::chrono::milliseconds{2};
    /// How long no requests are forwarded to an unreachable gateway.
    duration forward_hold_ = std::chrono::seconds{2};
    /// Minimum `retry_after` of a refusal with a temporary cause.
    duration retry_after_floor_ = std::chrono::seconds{1};
    /// How long an idempotency key is kept after its claim.
    duration key_window_ = std::chrono::hours{24};
    /// Time without the log after which an unregistered gateway dispatches
    /// requests if no gateway of its data centre is registered.
    duration log_lost_after_ = std::chrono::seconds{5};
    /// How long a stopping gateway waits until it reads its own leave record
    /// back from the log.
    duration leave_wait_ = std::chrono::seconds{3};
};

} // namespace cuminfold

#endif
