#ifndef CUMINFOLD_KERNEL_CELL_TASK_ROWS_HPP
#define CUMINFOLD_KERNEL_CELL_TASK_ROWS_HPP

#include "kernel/cell/job_definition.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <ostream>
#include <string>

namespace cuminfold
{

/// A number for each of some tasks of a job. The job's id is left empty in the
/// keys.
using task_numbers = std::map<task_id, std::uint32_t>;

std::string encode(task_numbers const& numbers);

/// @throws std::invalid_argument if `encode()` cannot have written the text
task_numbers decode_task_numbers(std::string const& text);

} // namespace cuminfold

namespace cuminfold::detail
{

/// Writes a line with a task, without its job, and its numbers.
void append_row(std::ostream& to, task_id const& task,
                std::initializer_list<std::uint32_t> numbers);

/// Reads such a line.
/// @return the task with an empty job
/// @throws std::invalid_argument if `append_row()` cannot have written it with
/// as many numbers
task_id read_row(std::string const& line,
                 std::initializer_list<std::uint32_t*> numbers);

} // namespace cuminfold::detail

#endif
