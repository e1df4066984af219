#ifndef CUMINFOLD_TRANSPORT_PROCESS_MEMORY_HPP
#define CUMINFOLD_TRANSPORT_PROCESS_MEMORY_HPP

#include <cstdint>

namespace cuminfold
{

/// Resident memory of this process, in bytes, as the operating system counts
/// it; 0 if it doesn't tell.
std::uint64_t resident_memory();

} // namespace cuminfold

#endif
