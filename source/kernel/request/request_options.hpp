#ifndef CUMINFOLD_KERNEL_REQUEST_REQUEST_OPTIONS_HPP
#define CUMINFOLD_KERNEL_REQUEST_REQUEST_OPTIONS_HPP

#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>

namespace cuminfold
{

/// When a worker is taken out of routing, and how it comes back.
struct health_options
{
    /// Dispatches that a judgement looks back on; older ones fade.
    double sample_window_ = 10;
    /// Failures among them that a judgement needs at least.
    double min_failures_ = 4;
    /// Share of failed dispatches from which a worker may be ejected.
    double min_failure_ratio_ = 0.5;
    /// How far that share must be over that of the pool's other workers.
    double failure_ratio_margin_ = 0.25;
    /// Share of a pool's workers that may be ejected at once.
    double max_ejected_ratio_ = 0.5;
    /// Counted dispatches lose half of their weight in this time.
    duration half_life_ = std::chrono::seconds{10};
    duration ejection_first_ = std::chrono::seconds{1};
    duration ejection_limit_ = std::chrono::seconds{30};
    /// How long a sign that a worker is leaving holds if nothing takes it back.
    duration leaving_hold_ = std::chrono::hours{24};
};

/// Tokens that pay for retries, one bucket a pool.
struct retry_budget_options
{
    /// Tokens that one success adds.
    double per_success_ = 0.1;
    double limit_ = 10;
};

/// How requests are admitted, routed and retried.
struct request_options
{
    health_options health_;
    retry_budget_options retry_budget_;
    /// Attempts of one request at most, the first one included.
    std::uint32_t attempts_ = 3;
    /// Upper bound of the random delay before the first retry; doubles.
    duration retry_delay_ = std::chrono::milliseconds{5};
    /// Shortest time that an attempt gets before it is given up for another.
    duration attempt_floor_ = std::chrono::milliseconds{50};
    /// A service that is refused as hopeless is still tried this often.
    duration probe_interval_ = std::chrono::milliseconds{250};
    /// How long a worker that said that it is full is left alone; doubles up to
    /// the limit until it answers a request.
    duration full_hold_ = std::chrono::milliseconds{5};
    duration full_hold_limit_ = std::chrono::milliseconds{200};
    /// Times that a request waits anew since a worker said that it is full.
    std::uint32_t requeues_ = 16;
    /// How long an echoed load counts.
    duration echo_lifetime_ = std::chrono::milliseconds{100};
    /// What a forwarded request's deadline is reduced by.
    duration hop_margin_ = std::chrono::milliseconds{2};
    /// How long a gateway that could not be reached is not forwarded to.
    duration forward_hold_ = std::chrono::seconds{2};
    /// Shortest `retry_after` of a refusal that time may mend.
    duration retry_after_floor_ = std::chrono::seconds{1};
    /// How long a key is remembered after its claim.
    duration key_window_ = std::chrono::hours{24};
    /// Time without the log after which an unregistered gateway serves if no
    /// gateway of its data centre is registered.
    duration log_lost_after_ = std::chrono::seconds{5};
    /// How long a stop waits until its own leave is read back.
    duration leave_wait_ = std::chrono::seconds{3};
};

} // namespace cuminfold

#endif
