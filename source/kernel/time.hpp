#ifndef CUMINFOLD_KERNEL_TIME_HPP
#define CUMINFOLD_KERNEL_TIME_HPP

#include <chrono>
#include <string>

namespace cuminfold
{

/// The kernel's resolution of time.
using duration = std::chrono::microseconds;

/// A point on the process's own monotonic clock. It means nothing to another
/// process: what crosses a process boundary is a `duration`.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point of calendar time, used for maintenance windows only.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

/// A time as a number of whole milliseconds, for log lines and other texts.
inline std::string in_milliseconds(duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// A time as a number of seconds, for rates and shares.
inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

inline duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace cuminfold

#endif
