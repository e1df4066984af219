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

/// Where a VM stands. New work goes to it in `serving` and `granted` only.
enum class vm_phase
{
    unassigned, ///< known, in no pool
    serving,
    releasing, ///< leaving its pool for another one; still in the old one
    granted,   ///< may be drained; still serving
    draining,
    rebooting
};

/// One entry of a VM's history, for `explain`.
struct vm_event
{
    /// Count of records folded when it happened.
    std::uint64_t order_ = 0;
    std::string what_;
};

/// One VM as the fold knows it.
struct vm_entry
{
    vm_id vm_;
    std::string address_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
    /// The one pool it belongs to; empty in `unassigned` only.
    pool_name pool_;
    vm_phase phase_ = vm_phase::unassigned;
    /// Grows with each effect on the VM.
    generation generation_ = 0;
    bool down_ = false;
    /// Where a release leads to.
    pool_name target_;
    /// The wave that its drain belongs to.
    wave_name wave_;
    /// Generation and order at the release or the start of the drain.
    generation released_ = 0;
    std::uint64_t released_order_ = 0;
    /// Gateways that hold no request on it since `released_`.
    std::set<incarnation> acknowledged_;
    /// Token of the reboot call.
    record_id reboot_;
    /// Number of the start that the reboot ends; 0: not known.
    std::uint64_t boot_ = 0;
    /// Attempts of jobs that are leased to it.
    std::set<job_id> tasks_;
    /// Waves that have maintained it.
    std::set<wave_name> maintained_;
    std::deque<vm_event> history_;

    /// Whether new requests and tasks may go to it.
    bool accepts_work() const noexcept
    {
        return !down_ &&
               (phase_ == vm_phase::serving || phase_ == vm_phase::granted);
    }
};

/// A rack's name is unique within its data centre.
using rack_key = std::pair<data_centre_name, rack_name>;

/// What the budget arithmetic needs of one pool, kept up to date with each
/// effect, so that judging a grant does not read the VMs.
struct pool_usage
{
    std::uint32_t members_ = 0;
    /// Members that serve, are not down and whose data centre is heard.
    std::uint32_t available_ = 0;
    /// Members in a drain, from the grant on, or in a release.
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

    /// The usage of a pool; an empty one if it has no VM.
    pool_usage const& usage(pool_name const& pool) const;

    std::map<pool_name, pool_usage> const& usages() const noexcept
    {
        return usages_;
    }

    std::set<data_centre_name> const& unreachable() const noexcept
    {
        return unreachable_;
    }

    /// @return false if the VM is known.
    bool add(vm_entry entry);
    void remove(vm_id const& vm);

    /// Changes one VM by `change(vm_entry&)`, which must not touch `vm_`, the
    /// data centre or the rack; keeps the usages and counts the generation.
    template <class Change>
    void change(vm_id const& vm, Change&& change)
    {
        auto& entry = vms_.at(vm);
        count(entry, -1);
        change(entry);
        ++entry.generation_;
        count(entry, +1);
    }

    /// Changes what neither the usages nor preconditions depend on.
    template <class Change>
    void annotate(vm_id const& vm, Change&& change)
    {
        change(vms_.at(vm));
    }

    void set_reachable(data_centre_name const& data_centre, bool heard);

    /// Makes the table anew from a snapshot.
    void restore(std::map<vm_id, vm_entry> vms,
                 std::set<data_centre_name> unreachable);

private:
    void count(vm_entry const& entry, int sign);
    bool available(vm_entry const& entry) const;

    std::map<vm_id, vm_entry> vms_;
    std::map<pool_name, pool_usage> usages_;
    std::set<data_centre_name> unreachable_;
};

} // namespace cuminfold

#endif
