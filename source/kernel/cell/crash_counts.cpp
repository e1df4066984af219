#include "kernel/cell/crash_counts.hpp"

#include <sstream>
#include <stdexcept>

namespace cuminfold
{

std::string encode(crash_counts const& counts)
{
    std::ostringstream text;
    for (auto const& item : counts)
    {
        text << item.first.occurrence_ << ' ' << item.first.step_ << ' '
             << item.first.index_ << ' ' << item.second.all_ << ' '
             << item.second.prime_ << '\n';
    }
    return text.str();
}

crash_counts decode_crash_counts(std::string const& text)
{
    crash_counts counts;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        std::istringstream fields(line);
        task_id task;
        crash_count count;
        std::string rest;
        fields >> task.occurrence_ >> task.step_ >> task.index_ >> count.all_ >>
            count.prime_;
        if (!fields || fields >> rest)
        {
            throw std::invalid_argument("not a line of crash counts: " + line);
        }
        counts[task] = count;
    }
    return counts;
}

} // namespace cuminfold
