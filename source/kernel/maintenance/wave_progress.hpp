#ifndef CUMINFOLD_KERNEL_MAINTENANCE_WAVE_PROGRESS_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_WAVE_PROGRESS_HPP

#include "kernel/fleet/fleet_state.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/time.hpp"

namespace cuminfold
{

/// Whether the wave lists the VM or its pool.
bool wave_covers(wave_spec const& wave, vm_entry const& vm);

/// Computes the wave's progress in one data centre. It depends on the folded
/// state only, so another controller can continue the wave.
/// @param now wall-clock time, checked against the wave's window
wave_view make_wave_view(fleet_state const& fleet,
                         intended_state const& intended, wave_spec const& wave,
                         data_centre_name const& data_centre, wall_time now);

/// Whether too many VMs failed to return from their reboot for the wave to
/// continue: any VM in the canary step; later more than one VM, and more than
/// one in five of those that returned or failed.
bool wave_must_stop(wave_view const& view);

} // namespace cuminfold

#endif
