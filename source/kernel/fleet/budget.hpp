#ifndef CUMINFOLD_KERNEL_FLEET_BUDGET_HPP
#define CUMINFOLD_KERNEL_FLEET_BUDGET_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/reason.hpp"

#include <cstdint>
#include <optional>

namespace cuminfold
{

// Availability budgets of pools. A VM may leave its pool if the VMs that remain
// available still meet the pool's need after the failure that the reserve
// covers: none, one VM or the largest rack.

/// Number of VMs that the reserve covers. For `reserve_kind::rack` this is the
/// largest count of available VMs in one rack.
/// @param leaving a VM to leave out of the count; may be null
std::uint32_t reserve_size(pool_usage const& usage, reserve_kind kind,
                           vm_entry const* leaving);

/// Whether the pool's available VMs meet its need, without the reserve; true
/// for a pool without a budget. A VM is not available if it is in a drain or a
/// release, is down, or is in an unreachable data centre.
bool is_need_met(vm_table const& vms, intended_state const& intended,
                 pool_name const& pool);

/// Number of VMs that may still leave the pool, one after the other. Without a
/// budget, all available VMs. The reserve is computed from the VMs that are
/// available now.
std::uint32_t allowed_disruptions(vm_table const& vms,
                                  intended_state const& intended,
                                  pool_name const& pool);

/// Checks whether the VM may leave its pool now. A pool without a budget lets
/// any VM leave. A VM that is down is checked against `max_draining_` only,
/// because its loss does not reduce the available VMs.
/// @return the reason for a refusal; empty if the VM may leave
std::optional<reason> check_availability_budget(vm_table const& vms,
                                                intended_state const& intended,
                                                vm_entry const& leaving);

/// Number of VMs to add to the pool before its budget can admit a drain, with
/// all members counted as available; 0 if the members suffice.
std::uint32_t drain_shortfall(vm_table const& vms,
                              intended_state const& intended,
                              pool_name const& pool);

} // namespace cuminfold

#endif
