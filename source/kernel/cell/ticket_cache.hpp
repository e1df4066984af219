#ifndef CUMINFOLD_KERNEL_CELL_TICKET_CACHE_HPP
#define CUMINFOLD_KERNEL_CELL_TICKET_CACHE_HPP

#include "kernel/cell/advice_line.hpp"
#include "kernel/cell/advice_query.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// Whether a worker may run a step.
enum class ticket_status : std::uint8_t
{
    unknown,
    requested, ///< a query is in flight
    allowed,
    expired, ///< allowed, but a new ticket is needed
    denied
};

/// Caches which workers the policy service of a queue allows to run each step.
/// The service's decisions do not change, but tickets expire.
class ticket_cache
{
public:
    ticket_status status(step_id const& step, std::string const& worker,
                         time_point now) const;
    /// The worker's ticket; empty unless one is valid.
    std::string ticket(step_id const& step, std::string const& worker,
                       time_point now) const;

    /// Whether the step has neither a query in flight nor a pause after one.
    bool can_query(step_id const& step, time_point now) const;
    /// Whether the step is in the pause after a query without an answer, or
    /// after a worker refused its ticket.
    bool paused(step_id const& step, time_point now) const;
    /// Whether the line of queries to the service has room for one about the
    /// step.
    bool admit(step_id const& step, advice_policy const& policy,
               std::size_t workers, time_point now)
    {
        return line_.admit(step, policy, workers, now);
    }
    advice_line const& line() const noexcept
    {
        return line_;
    }
    /// Records that the line had no room for a query about the step.
    /// @return whether it is the first time since the step's last query
    bool delayed(step_id const& step);
    /// Records that a query will be sent now, and sets its number and the time
    /// until its answer.
    void requested(query_advice& query, advice_policy const& policy);
    /// Records the answer to a query. Workers that `allowed` omits are denied.
    ///
    /// The tickets are valid from when the service decided. They count from the
    /// earliest time at which it may have begun the query. If they would not be
    /// usable by that, they count from their arrival: the workers decide.
    /// @param sent when the query was sent
    void answered(query_advice const& query,
                  std::vector<issued_ticket> const& allowed,
                  advice_policy const& policy, time_point sent, time_point now);
    /// Records a query without an answer; the next query about the step may be
    /// sent after 200 ms.
    /// @param is_queued the service may handle the query yet
    void failed(query_advice const& query, bool is_queued, time_point now);
    /// Marks the worker's ticket as expired because the worker refused it. The
    /// next query about the step may be sent after 200 ms.
    void refused(step_id const& step, std::string const& worker,
                 time_point now);

    /// Drops all entries of the worker, whose tickets end with its incarnation.
    /// The answer to a query in flight does not count for it.
    void erase_worker(std::string const& worker);
    /// Drops all entries of the job.
    void erase_job(job_id const& job);

private:
    struct worker_entry
    {
        bool requested_ = false;
        bool decided_ = false;
        bool allowed_ = false;
        std::string ticket_;
        time_point expires_at_{};
        /// Until when a start with the ticket may be stored and sent.
        time_point usable_until_{};
    };

    struct step_entry
    {
        std::map<std::string, worker_entry> workers_;
        bool in_flight_ = false;
        /// The line had no room for a query since the last one.
        bool is_delayed_ = false;
        /// Earliest time of the next query.
        time_point not_before_{};
    };

    worker_entry const* find(step_id const& step,
                             std::string const& worker) const;

    std::map<step_id, step_entry> steps_;
    advice_line line_;
};

} // namespace cuminfold

#endif
