#include "kernel/cell/clock_check.hpp"

namespace cuminfold
{

namespace
{

/// Both clocks are rounded to whole milliseconds.
constexpr worker_clock rounding{2};

} // namespace

worker_clock clock_lag(clock_reading const& known, worker_clock stated,
                       time_point sent)
{
    auto const since = sent - known.read_at_;
    // A call that was sent before the reading may have been executed before it.
    auto const least_progress =
        since < duration{0}
            ? since
            : std::chrono::duration_cast<duration>(since * min_clock_rate);
    auto const lag = known.clock_ +
                     std::chrono::duration_cast<worker_clock>(least_progress) -
                     stated;
    return lag > rounding ? lag : worker_clock{0};
}

} // namespace cuminfold
