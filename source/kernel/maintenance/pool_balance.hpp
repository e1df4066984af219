#ifndef CUMINFOLD_KERNEL_MAINTENANCE_POOL_BALANCE_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_POOL_BALANCE_HPP

#include "kernel/fleet/fleet_state.hpp"
#include "kernel/intended_state.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace cuminfold
{

/// What balancing needs of one pool; releases under way count as done.
struct pool_status
{
    std::uint32_t members_ = 0;
    std::uint32_t down_ = 0;
    /// Releases out of the pool and into it.
    std::uint32_t outgoing_ = 0;
    std::uint32_t incoming_ = 0;
    std::map<data_centre_name, std::uint32_t> by_data_centre_;
    std::map<rack_key, std::uint32_t> by_rack_;
};

/// The pools as they will stand once all releases are done.
class pool_balance
{
public:
    explicit pool_balance(fleet_state const& fleet,
                          intended_state const& intended);

    pool_status const& status(pool_name const& pool) const;

    /// VMs that the pool lacks in that data centre: against its spread if it
    /// has one, else against its size, and against its need, which counts
    /// VMs that are up only.
    /// @param extra VMs that it needs besides, for a wave
    std::uint32_t shortage(pool_spec const& pool,
                           data_centre_name const& data_centre,
                           std::uint32_t extra) const;

    /// VMs that the pool lacks to let one of its VMs be drained while all
    /// others serve; 0: its budget can admit a drain.
    std::uint32_t drain_shortfall(pool_name const& pool) const;

    /// VMs that the pool has in that data centre over what is intended.
    std::uint32_t surplus(pool_spec const& pool,
                          data_centre_name const& data_centre) const;

    /// The pool that a VM in no pool should join; empty: none wants it and
    /// there is no spare pool. Among pools that lack VMs, the one with the
    /// fewest in this rack, so that a rack's failure costs each pool little.
    pool_name pool_for(vm_entry const& vm) const;

    /// The VM that a move into the pool costs least, of that data centre: from
    /// the spare pool first, then from the pool with the largest surplus, of
    /// the rack where the target has the fewest.
    vm_entry const* source_vm(pool_name const& target,
                              data_centre_name const& data_centre) const;

    /// The data centre, first by name, that has a VM to give to the pool.
    std::optional<data_centre_name>
    source_data_centre(pool_name const& target) const;

    /// Counts an assignment that is on its way.
    void add_pending_assignment(vm_entry const& vm, pool_name const& pool);

private:
    bool can_leave(vm_entry const& vm, pool_name const& target) const;

    fleet_state const& fleet_;
    intended_state const& intended_;
    std::map<pool_name, pool_status> statuses_;
};

} // namespace cuminfold

#endif
