#include "kernel/cell/task_rows.hpp"

#include <sstream>
#include <stdexcept>

namespace cuminfold::detail
{

void append_row(std::ostream& to, task_id const& task,
                std::initializer_list<std::uint32_t> numbers)
{
    to << task.occurrence_ << ' ' << task.step_ << ' ' << task.index_;
    for (auto const number : numbers)
    {
        to << ' ' << number;
    }
    to << '\n';
}

task_id read_row(std::string const& line,
                 std::initializer_list<std::uint32_t*> numbers)
{
    std::istringstream fields(line);
    task_id task;
    fields >> task.occurrence_ >> task.step_ >> task.index_;
    for (auto* const number : numbers)
    {
        fields >> *number;
    }
    std::string rest;
    if (!fields || fields >> rest)
    {
        throw std::invalid_argument("not a task and its numbers: " + line);
    }
    return task;
}

} // namespace cuminfold::detail

namespace cuminfold
{

std::string encode(task_numbers const& numbers)
{
    std::ostringstream text;
    for (auto const& item : numbers)
    {
        detail::append_row(text, item.first, {item.second});
    }
    return text.str();
}

task_numbers decode_task_numbers(std::string const& text)
{
    task_numbers numbers;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
    {
        std::uint32_t number = 0;
        auto const task = detail::read_row(line, {&number});
        numbers[task] = number;
    }
    return numbers;
}

} // namespace cuminfold
