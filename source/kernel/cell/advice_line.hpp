#ifndef CUMINFOLD_KERNEL_CELL_ADVICE_LINE_HPP
#define CUMINFOLD_KERNEL_CELL_ADVICE_LINE_HPP

#include "kernel/cell/fleet_config.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cuminfold
{

/// Time from the answer to a query until the start that uses its ticket has
/// been stored and sent.
duration ticket_start_margin(advice_policy const& policy);

/// Limit on the workers in a query to a policy service, so that its answer
/// comes while its tickets are valid, wherever the policy allows that.
/// @return at least 1
std::size_t max_queried_workers(advice_policy const& policy);

/// Time in which the service handles as many of the largest queries as may be
/// in flight.
duration max_line_time(advice_policy const& policy);

/// The queries of this owner that a policy service has not answered yet. The
/// service handles the queries of one caller one after the other, so that each
/// query in flight delays the answers to all that are sent after it.
///
/// Admits a query only if its answer comes while its tickets are valid, even if
/// they are valid from the time of the query. A query that times out still
/// waits at the service and delays later ones until one of these is answered.
class advice_line
{
public:
    /// Limit on queries in flight. With more than one, the service is not idle
    /// while an answer is on its way.
    static constexpr std::size_t max_in_flight = 4;

    /// Whether a query about the step may be sent now. A step for which there
    /// is no room comes next: until it has been admitted, or has not asked
    /// again for a while, no other step is admitted. Otherwise, a queue whose
    /// tickets are valid for a short time would never find room.
    bool admit(step_id const& step, advice_policy const& policy,
               std::size_t workers, time_point now);
    /// Records that a query was sent.
    /// @return its number
    std::uint64_t add(duration answer_time);
    /// Records the answer to a query.
    /// @param sent when the query was sent
    /// @return the earliest time at which the service may have begun the query,
    /// apart from the delay of the network
    time_point answered(std::uint64_t number, time_point sent, time_point now);
    /// Records a query without an answer.
    /// @param is_queued the service may handle it yet
    void failed(std::uint64_t number, bool is_queued);
    /// Ends the turn of a step of this job.
    void erase_job(job_id const& job);

    /// Expected time until the service has handled all queries that were sent.
    duration expected_wait() const;
    std::size_t in_flight() const noexcept
    {
        return in_flight_;
    }

private:
    struct query
    {
        std::uint64_t number_ = 0;
        duration answer_time_{0};
        bool in_flight_ = true;
    };

    /// A step that has found no room and comes next.
    struct turn
    {
        step_id step_;
        time_point expires_at_{};
    };

    void erase(std::uint64_t number);

    /// In the order in which they were sent.
    std::deque<query> queries_;
    std::size_t in_flight_ = 0;
    std::uint64_t last_number_ = 0;
    std::uint64_t newest_answered_ = 0;
    time_point newest_answer_at_{};
    std::optional<turn> next_;
};

} // namespace cuminfold

#endif
