#ifndef CUMINFOLD_KERNEL_CELL_CRASH_COUNTS_HPP
#define CUMINFOLD_KERNEL_CELL_CRASH_COUNTS_HPP

#include "kernel/cell/job_definition.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cuminfold
{

/// The number of workers that crashed under a task.
struct crash_count
{
    std::uint32_t all_ = 0;
    /// Those under runs that had begun for which no other task had as many
    /// crashes.
    std::uint32_t prime_ = 0;

    friend bool operator==(crash_count const& a, crash_count const& b)
    {
        return a.all_ == b.all_ && a.prime_ == b.prime_;
    }
};

/// The crashes under each task of a job. The job's id is left empty in the
/// keys.
///
/// They are stored apart from the job's progress, since older programs reject
/// progress with further fields, and ignore records of an unknown kind.
using crash_counts = std::map<task_id, crash_count>;

std::string encode(crash_counts const& counts);

/// @throws std::invalid_argument if `encode()` cannot have written the text
crash_counts decode_crash_counts(std::string const& text);

} // namespace cuminfold

#endif
