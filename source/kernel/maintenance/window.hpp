#ifndef CUMINFOLD_KERNEL_MAINTENANCE_WINDOW_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_WINDOW_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/time.hpp"

namespace cuminfold
{

/// Whether a weekly window is open. A window that goes past midnight belongs
/// to the day on which it starts.
bool window_open(window_spec const& window, wall_time now);

/// Whether a window holds for a VM, by its pool and data centre.
bool window_covers(window_spec const& window, vm_entry const& vm);

/// Whether the wave may stop that VM now.
bool wave_may_drain(intended_state const& intended, wave_spec const& wave,
                    vm_entry const& vm, wall_time now);

} // namespace cuminfold

#endif
