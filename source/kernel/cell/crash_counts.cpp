#include "kernel/cell/crash_counts.hpp"

#include "kernel/cell/task_rows.hpp"

#include <sstream>

namespace cuminfold
{

std::string encode(crash_counts const& counts)
{
    std::ostringstream text;
    for (auto const& item : counts)
    {
        detail::append_row(text, item.first,
                           {item.second.all_, item.second.prime_});
    }
    return text.str();
}

crash_counts decode_crash_counts(std::string const& text)
{
    crash_counts counts;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        crash_count count;
        auto const task = detail::read_row(line, {&count.all_, &count.prime_});
        counts[task] = count;
    }
    return counts;
}

} // namespace cuminfold
