#include "kernel/maintenance/window.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace cuminfold
{

namespace
{

using std::chrono::minutes;

constexpr minutes day_length{24 * 60};
constexpr minutes week_length{7 * 24 * 60};
/// Offset from the Monday before the epoch: 1970-01-01 was a Thursday.
constexpr minutes monday_before_epoch{3 * 24 * 60};

template <class Name>
bool is_empty_or_contains(std::vector<Name> const& names, Name const& name)
{
    return names.empty() ||
           std::find(names.begin(), names.end(), name) != names.end();
}

/// Local time since Monday 00:00, in the window's UTC offset.
std::chrono::seconds since_monday(window_spec const& window, wall_time now)
{
    std::chrono::seconds const local =
        now.time_since_epoch() + window.utc_offset_ + monday_before_epoch;
    std::chrono::seconds const week = week_length;
    return ((local % week) + week) % week;
}

} // namespace

bool window_open(window_spec const& window, wall_time now)
{
    std::chrono::seconds const in_week = since_monday(window, now);
    for (int day = 0; day < 7; ++day)
    {
        if ((window.days_ & (1U << static_cast<unsigned>(day))) == 0)
        {
            continue;
        }
        std::chrono::seconds const start = day * day_length + window.start_;
        std::chrono::seconds const week = week_length;
        // Modulo a week, as Sunday's window may extend into the next week.
        auto const elapsed = ((in_week - start) % week + week) % week;
        if (elapsed < window.length_)
        {
            return true;
        }
    }
    return false;
}

bool window_covers(window_spec const& window, vm_entry const& vm)
{
    return is_empty_or_contains(window.pools_, vm.pool_) &&
           is_empty_or_contains(window.data_centres_, vm.data_centre_);
}

bool wave_may_drain(intended_state const& intended, wave_spec const& wave,
                    vm_entry const& vm, wall_time now)
{
    if (wave.window_.empty())
    {
        return true;
    }
    auto const found = intended.windows_.find(wave.window_);
    return found != intended.windows_.end() &&
           window_open(found->second, now) && window_covers(found->second, vm);
}

} // namespace cuminfold
