#ifndef CUMINFOLD_LOAD_LOAD_RUN_HPP
#define CUMINFOLD_LOAD_LOAD_RUN_HPP

#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// Settings of one run of the load generator.
struct load_settings
{
    /// Gateway addresses, `IP:PORT`; requests are sent to them round-robin.
    std::vector<std::string> targets_;
    /// Services that requests name, round-robin.
    std::vector<std::string> services_;
    /// Mean arrivals per second (open loop: arrivals do not wait for answers).
    double rate_ = 100;
    /// Time during which requests are sent.
    duration length_{0};
    /// Time that each request allows for its answer.
    duration deadline_{0};
    /// Percentage of requests that are marked as not idempotent.
    std::uint32_t non_idempotent_percent_ = 0;
    std::uint64_t seed_ = 1;
};

/// Results of a run. Each sent request is in exactly one of the counts from
/// `good_` to `unanswered_`.
struct load_report
{
    std::uint64_t sent_ = 0;
    /// Complete answers that match their request and arrive within the
    /// deadline.
    std::uint64_t good_ = 0;
    /// Complete, matching answers after the deadline.
    std::uint64_t late_ = 0;
    /// Answers with status 200 that do not match their request.
    std::uint64_t wrong_ = 0;
    /// Errors whose outcome is `not-run`.
    std::uint64_t not_run_ = 0;
    /// Errors with any other outcome or none.
    std::uint64_t unknown_ = 0;
    /// Errors whose body is not a JSON object.
    std::uint64_t failed_ = 0;
    /// Requests without a complete HTTP response.
    std::uint64_t unanswered_ = 0;
    /// Number of errors by reason.
    std::map<std::string, std::uint64_t> reasons_;
    /// Latencies of the good and late answers.
    std::vector<duration> answer_times_;
    /// Latencies of the `not_run_` errors.
    std::vector<duration> refusal_times_;
};

/// Sends the load and blocks until each request is answered or times out.
load_report run_load(load_settings const& settings);

/// Formats the report as JSON text, with latency percentiles in milliseconds.
std::string describe_report(load_settings const& settings, load_report report);

} // namespace cuminfold

#endif
