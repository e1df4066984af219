#ifndef CUMINFOLD_KERNEL_MAINTENANCE_WAVE_PROGRESS_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_WAVE_PROGRESS_HPP

#include "kernel/fleet/fleet_state.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/time.hpp"

namespace cuminfold
{

/// Whether the wave covers the VM, by its pool or by name.
bool wave_covers(wave_spec const& wave, vm_entry const& vm);

/// Where the wave stands in one data centre, read from the fold; another
/// controller goes on from the same.
wave_view make_wave_view(fleet_state const& fleet,
                         intended_state const& intended, wave_spec const& wave,
                         data_centre_name const& data_centre, wall_time now);

/// Whether so many VMs failed to return that the wave must stop: any of the
/// canary, later more than one in five and more than one.
bool wave_must_stop(wave_view const& view);

} // namespace cuminfold

#endif
