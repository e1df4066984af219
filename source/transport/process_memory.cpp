#include "transport/process_memory.hpp"

#include <unistd.h>

#include <fstream>

namespace cuminfold
{

std::uint64_t resident_memory()
{
    std::ifstream pages("/proc/self/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    pages >> size >> resident;
    auto const page_size = sysconf(_SC_PAGESIZE);
    return pages && page_size > 0
               ? resident * static_cast<std::uint64_t>(page_size)
               : 0;
}

} // namespace cuminfold
