#ifndef CUMINFOLD_KERNEL_FLEET_BUDGET_HPP
#define CUMINFOLD_KERNEL_FLEET_BUDGET_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/reason.hpp"

#include <cstdint>
#include <optional>

namespace cuminfold
{

/// Judges whether a pool can spare one more VM.
///
/// A VM may be taken if the pool's available VMs, without it, still meet the
/// need after the loss that the failure reserve stands for.

/// VMs that the reserve stands for, once `leaving` (may be null) is gone.
std::uint32_t reserve_size(pool_usage const& usage, reserve_kind kind,
                           vm_entry const* leaving);

/// Whether the pool's available VMs alone meet its need. VMs in a drain, in a
/// release, down, or of an unheard data centre are not available.
bool is_need_met(vm_table const& vms, intended_state const& intended,
                 pool_name const& pool);

/// VMs that the pool could still spare one after the other; without a budget,
/// all that are available. The reserve is that of the present VMs.
std::uint32_t allowed_disruptions(vm_table const& vms,
                                  intended_state const& intended,
                                  pool_name const& pool);

/// Why the pool cannot spare the VM now; empty: it can. A pool without a
/// budget can spare any, and a VM that is down costs nothing.
std::optional<reason> check_availability_budget(vm_table const& vms,
                                                intended_state const& intended,
                                                vm_entry const& leaving);

/// VMs that the pool lacks to let one of its VMs be drained while all others
/// serve; 0: its budget can admit a drain.
std::uint32_t drain_shortfall(vm_table const& vms,
                              intended_state const& intended,
                              pool_name const& pool);

} // namespace cuminfold

#endif
