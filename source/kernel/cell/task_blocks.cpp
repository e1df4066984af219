#include "kernel/cell/task_blocks.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cuminfold
{

task_blocks::task_blocks(job_definition const& job)
{
    first_.reserve(job.steps_.size() + 1);
    first_.push_back(0);
    for (auto const& step : job.steps_)
    {
        first_.push_back(first_.back() + step.tasks_);
    }
}

block_number task_blocks::block_of(task_id const& task) const
{
    return (task.occurrence_ * tasks_per_occurrence() + first_.at(task.step_) +
            task.index_) /
           tasks_per_block;
}

block_number task_blocks::blocks_within(std::size_t occurrences) const
{
    return occurrences * tasks_per_occurrence() / tasks_per_block;
}

std::vector<task_id> task_blocks::tasks_of(block_number block,
                                           std::size_t occurrences) const
{
    std::vector<task_id> tasks;
    auto const in_each = tasks_per_occurrence();
    auto const end = std::min<std::uint64_t>((block + 1) * tasks_per_block,
                                             occurrences * in_each);
    for (auto at = block * tasks_per_block; at < end; ++at)
    {
        auto const step =
            std::upper_bound(first_.begin(), first_.end(), at % in_each) - 1;
        tasks.push_back({job_id{}, static_cast<std::uint32_t>(at / in_each),
                         static_cast<std::uint32_t>(step - first_.begin()),
                         static_cast<std::uint32_t>(at % in_each - *step)});
    }
    return tasks;
}

std::string block_name(std::string const& job, block_number block)
{
    return block == 0 ? job : job + "." + std::to_string(block);
}

std::pair<job_id, block_number> parse_block_name(std::string const& name)
{
    auto const dot = name.find('.');
    if (dot == std::string::npos)
    {
        return {job_id{name}, 0};
    }
    block_number block = 0;
    auto const* const end = name.data() + name.size();
    auto const parsed = std::from_chars(name.data() + dot + 1, end, block);
    if (parsed.ec != std::errc{} || parsed.ptr != end || block == 0)
    {
        throw std::invalid_argument("not the name of a block: " + name);
    }
    return {job_id{name.substr(0, dot)}, block};
}

} // namespace cuminfold
