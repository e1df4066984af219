#ifndef CUMINFOLD_NODE_NODE_CLOCK_HPP
#define CUMINFOLD_NODE_NODE_CLOCK_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <ctime>

namespace cuminfold
{

/// Clock for all of a node's decisions. It includes time during which the VM
/// was suspended, so that a lease never appears younger than it is.
inline time_point node_now()
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{read.tv_sec} +
        std::chrono::nanoseconds{read.tv_nsec})};
}

/// Wall-clock time, for the schedules of recurring jobs only.
inline calendar_time calendar_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace cuminfold

#endif
