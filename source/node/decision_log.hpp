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

/// Log lines of decisions, with a budget a second for each kind of event.
///
/// What is left out under load is counted and said in a line of its own, so
/// that the log's volume stays bounded.
class decision_log
{
public:
    explicit decision_log(metrics& counters);

    /// Writes a line unless the event's budget of this second is spent; counts
    /// it in any case.
    void write(char const* event, std::initializer_list<log_field> fields,
               time_point now);

private:
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
