#ifndef CUMINFOLD_KERNEL_CELL_VM_ABSENCES_HPP
#define CUMINFOLD_KERNEL_CELL_VM_ABSENCES_HPP

#include "kernel/cell/wave_order.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <functional>
#include <map>

namespace cuminfold
{

/// Tells VMs that are gone from VMs that a list leaves out: a list may be older
/// than a VM, or miss one between two of its pages. A VM is gone once no
/// complete list has had it for `min_time`, by the times of their requests.
class vm_absences
{
public:
    explicit vm_absences(duration min_time);

    /// From now on lists are evidence for that VM, if requested after `now`;
    /// earlier evidence is dropped.
    void watch(vm_id const& vm, time_point now);
    /// Forgets the VMs for which the predicate is false.
    void retain(std::function<bool(vm_id const&)> const& is_wanted);

    /// @param requested_at when the list was requested
    void listed(std::map<vm_id, listed_vm> const& vms, bool is_complete,
                time_point requested_at);

    /// Whether the VM is watched and gone.
    bool is_gone(vm_id const& vm) const;

private:
    struct entry
    {
        time_point watched_since_{};
        /// When the first and the latest of the lists without the VM were
        /// requested; unset if there is none since a list with it.
        time_point first_missed_{};
        time_point last_missed_{};
    };

    duration min_time_;
    std::map<vm_id, entry> entries_;
};

} // namespace cuminfold

#endif
