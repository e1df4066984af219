#ifndef CUMINFOLD_KERNEL_FLEET_VM_TABLE_HPP
#define CUMINFOLD_KERNEL_FLEET_VM_TABLE_HPP

#include "kernel/identifier.hpp"
#include "kernel/record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace cuminfold
{

/// Status of a VM. It accepts new work in `serving` and `granted` only.
enum class vm_phase
{
    unassigned, ///< in no pool
    serving,
    releasing, ///< moving to another pool; still a member of the old one
    granted,   ///< may be drained; still serving
    draining,
    rebooting
};

/// One entry of a VM's history, for `explain`.
struct vm_event
{
    /// `fleet_data::order_` when it happened.
    std::uint64_t order_ = 0;
    std::string what_;
};

/// State of one VM, folded from the log.
struct vm_entry
{
    vm_id vm_;
    std::string address_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
    /// The pool that the VM belongs to; empty in `unassigned` only.
    pool_name pool_;
    vm_phase phase_ = vm_phase::unassigned;
    /// Incremented by each change of the VM, except by `vm_table::annotate`.
    generation generation_ = 0;
    bool down_ = false;
    /// The pool that a released VM moves to.
    pool_name target_;
    /// The wave that drains and reboots the VM; empty if there is none.
    wave_name wave_;
    /// Generation and `fleet_data::order_` at the release or the start of the
    /// drain.
    generation released_ = 0;
    std::uint64_t released_order_ = 0;
    /// Gateways that have acknowledged the release or drain `released_`, which
    /// they do once they hold no request on the VM.
    std::set<incarnation> acknowledged_;
    /// Id of the record that decided the reboot; the token of the reboot
    /// request.
    record_id reboot_;
    /// Boot number of the VM before the reboot; 0 if not known.
    std::uint64_t boot_ = 0;
    /// Jobs with an attempt that is leased to the VM.
    std::set<job_id> tasks_;
    /// Waves that have drained and rebooted the VM. Waves that are no longer
    /// declared are erased when the VM returns from its next reboot.
    std::set<wave_name> maintained_;
    std::deque<vm_event> history_;

    /// Whether new requests and tasks may be sent to the VM.
    bool accepts_work() const noexcept
    {
        return !down_ &&
               (phase_ == vm_phase::serving || phase_ == vm_phase::granted);
    }
};

/// A rack's name is unique within its data centre.
using rack_key = std::pair<data_centre_name, rack_name>;

/// Counts of one pool's VMs for the budget checks. They are updated with each
/// change of a VM, so that checking a grant does not iterate over the VMs.
struct pool_usage
{
    std::uint32_t members_ = 0;
    /// Members in `serving` that are not down and whose data centre is
    /// reachable.
    std::uint32_t available_ = 0;
    /// Members in a drain (from the grant on) or in a release.
    std::uint32_t leaving_ = 0;
    std::map<rack_key, std::uint32_t> available_by_rack_;
    std::map<data_centre_name, std::uint32_t> members_by_data_centre_;
};

/// All VMs, with the usage of each pool.
class vm_table
{
public:
    vm_entry const* find(vm_id const& vm) const;

    std::map<vm_id, vm_entry> const& all() const noexcept
    {
        return vms_;
    }

    /// The usage of a pool; all zero if the pool has no VM.
    pool_usage const& usage(pool_name const& pool) const;

    std::map<pool_name, pool_usage> const& usages() const noexcept
    {
        return usages_;
    }

    /// Data centres that are recorded as unreachable.
    std::set<data_centre_name> const& unreachable() const noexcept
    {
        return unreachable_;
    }

    /// @return false, without a change, if the table holds the VM already
    bool add(vm_entry entry);
    /// Does nothing if the table does not hold the VM.
    void remove(vm_id const& vm);

    /// Calls `change(vm_entry&)` for a VM in the table, increments its
    /// generation and updates the usages. `change` must not modify the VM's id,
    /// data centre or rack.
    /// @throws std::out_of_range if the table does not hold the VM
    template <class Change>
    void change(vm_id const& vm, Change&& change)
    {
        auto& entry = vms_.at(vm);
        update_usage(entry, -1);
        change(entry);
        ++entry.generation_;
        update_usage(entry, +1);
    }

    /// Calls `change(vm_entry&)` without incrementing the generation. `change`
    /// may modify only members on which neither the usages nor the
    /// preconditions of records depend.
    /// @throws std::out_of_range if the table does not hold the VM
    template <class Change>
    void annotate(vm_id const& vm, Change&& change)
    {
        change(vms_.at(vm));
    }

    /// Records whether a data centre is reachable and updates the usages.
    void set_reachable(data_centre_name const& data_centre, bool reachable);

    /// Replaces the table by that of a snapshot and computes the usages.
    void restore(std::map<vm_id, vm_entry> vms,
                 std::set<data_centre_name> unreachable);

private:
    /// Adds the VM to its pool's usage (`sign` +1) or removes it (-1).
    void update_usage(vm_entry const& entry, int sign);
    bool is_available(vm_entry const& entry) const;

    std::map<vm_id, vm_entry> vms_;
    std::map<pool_name, pool_usage> usages_;
    std::set<data_centre_name> unreachable_;
};

} // namespace cuminfold

#endif
