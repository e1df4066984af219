#ifndef CUMINFOLD_KERNEL_CELL_ADMISSION_CHECK_HPP
#define CUMINFOLD_KERNEL_CELL_ADMISSION_CHECK_HPP

#include <vector>

namespace cuminfold
{

/// Share of the workers' time that tasks can use: the rest is lost to sizes
/// that do not fit together and to the time between two tasks.
inline constexpr double packing_efficiency = 0.65;

/// What a pool has for jobs; in workers.
struct pool_capacity
{
    double workers_ = 0;
    /// On their way to the pool.
    double incoming_ = 0;
    /// Held by lasting tasks.
    double long_running_ = 0;
    /// Not in use at present.
    double free_ = 0;
};

/// Work that must be done by some time from now.
struct deadline_work
{
    double deadline_seconds_ = 0;
    double worker_seconds_ = 0;
};

/// Looks whether all work can be done in time, the earliest first, once `next`
/// is taken.
/// @return the work in worker-seconds that `next` would make late; 0 if it is
/// in time itself and makes nothing late
double excess_work(std::vector<deadline_work> ahead, deadline_work next,
                   pool_capacity const& room);

} // namespace cuminfold

#endif
