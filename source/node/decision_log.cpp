#include "node/decision_log.hpp"

#include <string>

namespace cuminfold
{

namespace
{

/// Limit for each event.
constexpr std::uint32_t max_lines_per_second = 60;

} // namespace

decision_log::decision_log(metrics& counters) : counters_(counters) {}

void decision_log::write(char const* event,
                         std::initializer_list<log_field> fields,
                         time_point now)
{
    counters_.add("cuminfold_decisions_total", 1, "event", event);
    auto& budget = budgets_[event];
    if (now - budget.window_start_ >= std::chrono::seconds{1})
    {
        if (budget.suppressed_ != 0)
        {
            write_log(
                log_level::info, "lines_left_out",
                {{"of", event}, {"count", std::to_string(budget.suppressed_)}});
        }
        budget = {now, 0, 0};
    }
    if (budget.written_ >= max_lines_per_second)
    {
        ++budget.suppressed_;
        return;
    }
    ++budget.written_;
    write_log(log_level::info, event, fields);
}

} // namespace cuminfold
