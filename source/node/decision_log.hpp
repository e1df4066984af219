#ifndef CUMINFOLD_NODE_DECISION_LOG_HPP
#define CUMINFOLD_NODE_DECISION_LOG_HPP

#include "kernel/time.hpp"
#include "transport/logger.hpp"
#include "transport/metrics.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>

namespace cuminfold
{

/// Logs decisions, with a limit on the lines per second of each event.
///
/// The limit bounds the log's volume under load. Suppressed lines are counted
/// and reported in a `lines_left_out` line before the event's next line.
class decision_log
{
public:
    /// @param counters gets the number of events, by event name
    explicit decision_log(metrics& counters);

    /// Writes a line unless the event has reached its limit for the current
    /// second. Counts the event in `cuminfold_decisions_total` in any case.
    void write(char const* event, std::initializer_list<log_field> fields,
               time_point now);

private:
    /// The lines of one event in the current second.
    struct budget
    {
        time_point window_start_{};
        std::uint32_t written_ = 0;
        std::uint64_t suppressed_ = 0;
    };

    metrics& counters_;
    std::map<std::string, budget> budgets_;
};

} // namespace cuminfold

#endif
