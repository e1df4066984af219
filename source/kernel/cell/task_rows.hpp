#ifndef CUMINFOLD_KERNEL_CELL_TASK_ROWS_HPP
#define CUMINFOLD_KERNEL_CELL_TASK_ROWS_HPP

#include "kernel/cell/job_definition.hpp"

#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>

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
