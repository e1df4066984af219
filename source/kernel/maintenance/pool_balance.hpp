#ifndef CUMINFOLD_KERNEL_MAINTENANCE_POOL_BALANCE_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_POOL_BALANCE_HPP

#include "kernel/fleet/fleet_state.hpp"
#include "kernel/intended_state.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace cuminfold
{

/// VM counts of one pool for balancing. A VM that is being released counts as a
/// member of its target pool.
struct pool_status
{
    std::uint32_t members_ = 0;
    std::uint32_t down_ = 0;
    /// Number of releases in progress out of the pool and into it.
    std::uint32_t outgoing_ = 0;
    std::uint32_t incoming_ = 0;
    std::map<data_centre_name, std::uint32_t> by_data_centre_;
    std::map<rack_key, std::uint32_t> by_rack_;
};

/// Membership of all pools as it will be once all releases have completed.
/// Refers to the fleet and the intended state that it is constructed from.
class pool_balance
{
public:
    explicit pool_balance(fleet_state const& fleet,
                          intended_state const& intended);

    /// The counts of a pool; all zero if the pool has no VM.
    pool_status const& status(pool_name const& pool) const;

    /// Number of VMs that the pool lacks in the data centre: the largest of the
    /// shortage against its spread there, or against its size if it has no
    /// spread; the shortage of VMs that are up against its budget's need; and
    /// `extra`.
    /// @param extra VMs that the pool lacks for a wave
    std::uint32_t shortage(pool_spec const& pool,
                           data_centre_name const& data_centre,
                           std::uint32_t extra) const;

    /// Number of VMs to add to the pool before its budget can admit a drain,
    /// with all members counted as available; 0 if the members suffice.
    std::uint32_t drain_shortfall(pool_name const& pool) const;

    /// Number of VMs in the data centre above the pool's spread there, or above
    /// its size if it has no spread. All VMs of a spare pool are surplus.
    std::uint32_t surplus(pool_spec const& pool,
                          data_centre_name const& data_centre) const;

    /// The pool that an unassigned VM should join: of the pools with a
    /// shortage, the one with the fewest VMs in this rack, so that the failure
    /// of a rack affects each pool little; else the spare pool.
    /// @return an empty name if no pool has a shortage and none is a spare pool
    pool_name pool_for(vm_entry const& vm) const;

    /// The VM of the data centre whose move into the pool costs least. VMs of a
    /// spare or undeclared pool come first, then those with the fewest tasks,
    /// then those of the pool with the largest surplus, then those in the rack
    /// where the target has the fewest VMs.
    /// @return null if no VM may leave its pool
    vm_entry const* source_vm(pool_name const& target,
                              data_centre_name const& data_centre) const;

    /// The first data centre by name that is reachable and has a VM that may
    /// move into the pool; empty if there is none.
    std::optional<data_centre_name>
    source_data_centre(pool_name const& target) const;

    /// Counts the VM as a member of the pool before its assignment is folded.
    void add_pending_assignment(vm_entry const& vm, pool_name const& pool);

private:
    /// Whether the VM serves, is up and may leave its pool for the target: its
    /// pool is undeclared or has a surplus in the VM's data centre, and the
    /// pool's budget lets the VM leave.
    bool can_leave(vm_entry const& vm, pool_name const& target) const;

    fleet_state const& fleet_;
    intended_state const& intended_;
    std::map<pool_name, pool_status> statuses_;
};

} // namespace cuminfold

#endif
