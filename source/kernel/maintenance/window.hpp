#ifndef CUMINFOLD_KERNEL_MAINTENANCE_WINDOW_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_WINDOW_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/time.hpp"

namespace cuminfold
{

/// Whether a weekly window is open at `now`. A window that extends past
/// midnight belongs to the day on which it starts.
bool window_open(window_spec const& window, wall_time now);

/// Whether the window applies to the VM's pool and data centre. An empty list
/// of pools or of data centres covers all.
bool window_covers(window_spec const& window, vm_entry const& vm);

/// Whether the wave may drain the VM now: it has no window, or its window is
/// open and covers the VM.
bool wave_may_drain(intended_state const& intended, wave_spec const& wave,
                    vm_entry const& vm, wall_time now);

} // namespace cuminfold

#endif
