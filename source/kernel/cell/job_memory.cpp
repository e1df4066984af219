#include "kernel/cell/job_memory.hpp"

#include "kernel/cell/cell.hpp"
#include "kernel/cell/job_state.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Allocated beside a `task_state`: the worker's name and the checkpoint.
constexpr std::uint64_t string_bytes_per_task = 96;

} // namespace

std::uint64_t memory_bound(job_definition const& job)
{
    std::uint64_t occurrence = sizeof(occurrence_state);
    for (auto const& step : job.steps_)
    {
        occurrence +=
            sizeof(step_state) +
            step.tasks_ * (sizeof(task_state) + string_bytes_per_task);
    }
    return sizeof(job_state) + record_size_bound(job) +
           occurrence * std::max<std::uint64_t>(1, job.occurrences_);
}

} // namespace cuminfold
