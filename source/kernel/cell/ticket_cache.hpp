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

/// What a queue's policy service answered about one worker.
struct ticket_row
{
    std::string worker_;
    std::string ticket_;
};

/// What is known of a worker for a step.
enum class ticket_status : std::uint8_t
{
    unknown,
    requested,
    allowed,
    expired, ///< it is allowed, and its ticket has to be renewed
    denied
};

/// Remembers which workers a queue's policy service lets run each step. Which
/// ones they are does not change; their tickets expire.
class ticket_cache
{
public:
    /// Questions on their way at one time. The service answers each caller's
    /// in turn; the next ones wait there, so that it is never idle.
    static constexpr std::size_t max_in_flight = 4;

    ticket_status status(step_id const& step, std::string const& worker,
                         time_point now) const;
    /// The worker's ticket; empty unless one is valid.
    std::string ticket(step_id const& step, std::string const& worker,
                       time_point now) const;

    /// Another question may be sent about that step.
    bool can_query(step_id const& step, time_point now) const;
    /// The pause after a question without an answer is not over.
    bool paused(step_id const& step, time_point now) const;
    void requested(step_id const& step,
                   std::vector<std::string> const& workers);
    /// @param validity of each ticket from when it was asked for
    void answered(step_id const& step, std::vector<std::string> const& workers,
                  std::vector<ticket_row> const& allowed, duration validity,
                  time_point sent);
    /// No answer; the step is asked about again after a pause.
    void failed(step_id const& step, std::vector<std::string> const& workers,
                time_point now);
    /// The worker did not accept its ticket.
    void refused(step_id const& step, std::string const& worker);

    void erase_job(job_id const& job);

private:
    struct row
    {
        bool requested_ = false;
        bool known_ = false;
        bool allowed_ = false;
        std::string ticket_;
        time_point until_{};
    };

    struct step_rows
    {
        std::map<std::string, row> workers_;
        bool in_flight_ = false;
        time_point not_before_{};
    };

    row const* find(step_id const& step, std::string const& worker) const;

    std::map<step_id, step_rows> steps_;
    std::size_t in_flight_ = 0;
};

} // namespace cuminfold

#endif
