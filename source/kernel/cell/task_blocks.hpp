#ifndef CUMINFOLD_KERNEL_CELL_TASK_BLOCKS_HPP
#define CUMINFOLD_KERNEL_CELL_TASK_BLOCKS_HPP

#include "kernel/cell/job_definition.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cuminfold
{

/// Number of a block of a job's tasks.
using block_number = std::uint64_t;

/// Divides the tasks of a job into blocks, ordered by occurrence, step and
/// index. The progress of each block is a record of its own, so that no record
/// outgrows the store's limit and a change writes few tasks again.
class task_blocks
{
public:
    static constexpr block_number tasks_per_block = 128;

    task_blocks() = default;
    explicit task_blocks(job_definition const& job);

    block_number block_of(task_id const& task) const;
    /// Number of blocks whose tasks all belong to the first `occurrences`.
    block_number blocks_within(std::size_t occurrences) const;
    /// Number of tasks in one occurrence.
    std::uint64_t tasks_per_occurrence() const
    {
        return first_.empty() ? 0 : first_.back();
    }
    /// The tasks of a block in the first `occurrences`, with empty jobs.
    std::vector<task_id> tasks_of(block_number block,
                                  std::size_t occurrences) const;

private:
    /// By step: the number of tasks in the steps before; at the end that in
    /// all steps.
    std::vector<std::uint64_t> first_;
};

/// Name of a block's record: the job's id, and the number of the block unless
/// it is the first.
std::string block_name(std::string const& job, block_number block);

/// @return the job's id and the number of the block
/// @throws std::invalid_argument if `block_name()` cannot have made the name
std::pair<job_id, block_number> parse_block_name(std::string const& name);

} // namespace cuminfold

#endif
