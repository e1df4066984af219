#ifndef CUMINFOLD_KERNEL_CELL_ADVICE_QUERY_HPP
#define CUMINFOLD_KERNEL_CELL_ADVICE_QUERY_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// Queries on which of these workers the queue's policy allows a step to run.
struct query_advice
{
    step_id step_;
    std::vector<std::string> workers_;
    /// Upper bound of the expected time until the answer, including the queries
    /// that the service handles first.
    duration answer_time_{0};
    /// Number of the query in `advice_line`.
    std::uint64_t number_ = 0;
};

/// A ticket that a queue's policy service issued for one worker.
struct issued_ticket
{
    std::string worker_;
    std::string ticket_;
};

/// The result of a query to a policy service.
struct advice_result
{
    /// The allowed workers; none without a readable answer.
    std::optional<std::vector<issued_ticket>> allowed_;
    /// Without an answer: the service may handle the query yet.
    bool is_queued_ = false;
};

} // namespace cuminfold

#endif
