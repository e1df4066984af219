#ifndef CUMINFOLD_KERNEL_CELL_JOB_MEMORY_HPP
#define CUMINFOLD_KERNEL_CELL_JOB_MEMORY_HPP

#include "kernel/cell/job_definition.hpp"

#include <cstdint>

namespace cuminfold
{

/// Upper bound of the bytes that the owner of a cell holds for a job until it
/// has ended: its definition, and the state of each task of all occurrences.
std::uint64_t memory_bound(job_definition const& job);

} // namespace cuminfold

#endif
