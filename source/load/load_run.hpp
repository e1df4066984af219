#ifndef CUMINFOLD_LOAD_LOAD_RUN_HPP
#define CUMINFOLD_LOAD_LOAD_RUN_HPP

#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// One run of the load tool.
struct load_settings
{
    /// Gateways, `IP:PORT`; requests go to them in turn.
    std::vector<std::string> targets_;
    std::vector<std::string> services_;
    /// Mean arrivals a second; arrivals do not wait for answers.
    double rate_ = 100;
    duration length_{0};
    duration deadline_{0};
    /// Share of requests, in percent, that are not idempotent.
    std::uint32_t non_idempotent_percent_ = 0;
    std::uint64_t seed_ = 1;
};

/// What came of a run. Each request is in exactly one of the counts.
struct load_report
{
    std::uint64_t sent_ = 0;
    /// Whole answers to the own request within the deadline.
    std::uint64_t good_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t wrong_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t unanswered_ = 0;
    std::map<std::string, std::uint64_t> reasons_;
    std::vector<duration> answer_times_;
    std::vector<duration> refusal_times_;
};

/// Sends the load and waits for all answers.
load_report run_load(load_settings const& settings);

/// The report as JSON text.
std::string describe_report(load_settings const& settings, load_report report);

} // namespace cuminfold

#endif
