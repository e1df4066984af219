#ifndef CUMINFOLD_KERNEL_CELL_ADMISSION_CHECK_HPP
#define CUMINFOLD_KERNEL_CELL_ADMISSION_CHECK_HPP

#include "kernel/time.hpp"

#include <vector>

namespace cuminfold
{

/// Share of the workers' time that tasks can use. The rest is lost to task
/// sizes that do not fill a worker and to the time between two tasks.
inline constexpr double packing_efficiency = 0.65;

/// The capacity of a pool, in workers.
struct pool_capacity
{
    double workers_ = 0;
    /// VMs that are moving to the pool.
    double incoming_ = 0;
    /// Occupied by long-running tasks.
    double long_running_ = 0;
    /// Not in use at present.
    double free_ = 0;
};

/// Work in worker-seconds that the pool can do within that time.
double available_work(pool_capacity const& pool, duration time);

/// An amount of work and its deadline, counted from now.
struct deadline_work
{
    double deadline_seconds_ = 0;
    double worker_seconds_ = 0;
};

/// Checks whether the pool can do all work in time, earliest deadline first,
/// if it accepts `next`.
/// @return the work in worker-seconds by which accepting `next` would exceed
/// the capacity before a deadline. 0 if `next` meets its deadline and no work
/// of `ahead` that would otherwise meet its own misses it.
double excess_work(std::vector<deadline_work> ahead, deadline_work next,
                   pool_capacity const& pool);

} // namespace cuminfold

#endif
