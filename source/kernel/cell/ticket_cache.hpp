#ifndef CUMINFOLD_KERNEL_CELL_TICKET_CACHE_HPP
#define CUMINFOLD_KERNEL_CELL_TICKET_CACHE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// A ticket that a queue's policy service issued for one worker.
struct issued_ticket
{
    std::string worker_;
    std::string ticket_;
};

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
    /// Limit on queries in flight. The service processes the queries of one
    /// caller one after the other. Further queries wait there, so that it is
    /// never idle.
    static constexpr std::size_t max_in_flight = 4;

    ticket_status status(step_id const& step, std::string const& worker,
                         time_point now) const;
    /// The worker's ticket; empty unless one is valid.
    std::string ticket(step_id const& step, std::string const& worker,
                       time_point now) const;

    /// Whether a query about the step may be sent now.
    bool can_query(step_id const& step, time_point now) const;
    /// Whether the step is in the pause after a query without an answer.
    bool paused(step_id const& step, time_point now) const;
    /// Records that a query was sent.
    void requested(step_id const& step,
                   std::vector<std::string> const& workers);
    /// Records the answer to a query. Workers that `allowed` omits are denied.
    /// @param validity of each ticket, from the time when the query was sent
    /// @param sent when the query was sent
    void answered(step_id const& step, std::vector<std::string> const& workers,
                  std::vector<issued_ticket> const& allowed, duration validity,
                  time_point sent);
    /// Records a query without an answer; the next query about the step may be
    /// sent after 200 ms.
    void failed(step_id const& step, std::vector<std::string> const& workers,
                time_point now);
    /// Marks the worker's ticket as expired because the worker refused it.
    void refused(step_id const& step, std::string const& worker);

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
    };

    struct step_entry
    {
        std::map<std::string, worker_entry> workers_;
        bool in_flight_ = false;
        /// Earliest time of the next query.
        time_point not_before_{};
    };

    worker_entry const* find(step_id const& step,
                             std::string const& worker) const;

    std::map<step_id, step_entry> steps_;
    std::size_t in_flight_ = 0;
};

} // namespace cuminfold

#endif
