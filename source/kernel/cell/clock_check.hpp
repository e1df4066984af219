#ifndef CUMINFOLD_KERNEL_CELL_CLOCK_CHECK_HPP
#define CUMINFOLD_KERNEL_CELL_CLOCK_CHECK_HPP

#include "kernel/cell/worker_clock.hpp"
#include "kernel/time.hpp"

namespace cuminfold
{

/// Minimum rate of a worker's clock, relative to the owner's.
constexpr double min_clock_rate = 0.98;

/// A worker's clock as an answer stated it.
struct clock_reading
{
    worker_clock clock_{0};
    /// When the owner received the answer; unset if there was none.
    time_point read_at_{};
};

/// How far an answer's clock is behind the least that the clock of an earlier
/// answer can show by then; 0 if both may be of one clock. A lease that was
/// computed by the earlier answer lasts that much longer than the owner counts
/// on. A clock that is ahead makes leases shorter, and is not told from an
/// earlier answer that the owner read late.
/// @param sent when the call was sent that the answer belongs to
worker_clock clock_lag(clock_reading const& known, worker_clock stated,
                       time_point sent);

} // namespace cuminfold

#endif
