#ifndef CUMINFOLD_KERNEL_CELL_WORKER_CLOCK_HPP
#define CUMINFOLD_KERNEL_CELL_WORKER_CLOCK_HPP

#include <chrono>

namespace cuminfold
{

/// A point on a worker's own monotonic clock.
using worker_clock = std::chrono::milliseconds;

} // namespace cuminfold

#endif
