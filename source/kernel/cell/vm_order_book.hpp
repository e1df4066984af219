#ifndef CUMINFOLD_KERNEL_CELL_VM_ORDER_BOOK_HPP
#define CUMINFOLD_KERNEL_CELL_VM_ORDER_BOOK_HPP

#include "kernel/cell/vm_order_record.hpp"
#include "kernel/cell/wave_order.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <functional>
#include <map>
#include <string>

namespace cuminfold
{

/// The orders to VMs that may have been sent, by this owner and by earlier
/// ones, and the maintenance that they began. It is the account that limits on
/// VMs out of service are counted from.
class vm_order_book
{
public:
    /// @param hold_time how long an order of an earlier owner may still be
    /// carried out, from when its record was read
    /// @param min_down_time a VM counts as down for this long after an order,
    /// even if the platform's list shows it as up
    vm_order_book(duration hold_time, duration min_down_time);

    /// Adds a stored record of an earlier owner.
    void restore(vm_id const& vm, vm_order_record record, time_point now);

    /// @name Orders of this owner
    /// Each function returns the record to store.
    /// @{
    /// An order is about to be sent.
    /// @param wave 0 for a move
    vm_order_record const& plan(vm_id const& vm, wave_number wave);
    /// The maintenance for that wave began.
    vm_order_record const& set_maintained(vm_id const& vm, wave_number wave);
    /// @}

    /// The order is sent now.
    void sent(vm_id const& vm, time_point now);

    /// Settles the orders of earlier owners that the platform's list shows to
    /// be done, and those for VMs that are gone.
    /// @param requested_at when the list was requested
    void listed(std::map<vm_id, listed_vm> const& vms,
                std::function<bool(vm_id const&)> const& is_gone,
                time_point requested_at);

    /// Whether an order of an earlier owner may still be carried out.
    bool is_held(vm_id const& vm, time_point now) const;
    bool is_maintained(vm_id const& vm, wave_number wave) const;
    /// Whether an earlier owner's order took the VM out of service for the
    /// wave, or still may.
    bool may_be_down(vm_id const& vm, wave_number wave) const;
    /// The same for an order of any wave.
    bool may_be_down(vm_id const& vm) const;

    /// Writes the records whose orders can't be carried out any more.
    /// @param is_busy whether the VM has an operation; its record is kept
    /// @param write gets the VM and the new text; an empty one deletes the
    /// record
    void
    expire(std::function<bool(vm_id const&)> const& is_busy,
           std::function<void(vm_id const&, std::string const&)> const& write,
           time_point now);
    /// Forgets which VMs the wave maintained.
    /// @param write as for `expire()`
    void forget_wave(
        wave_number wave,
        std::function<void(vm_id const&, std::string const&)> const& write);

private:
    struct entry
    {
        vm_order_record record_;
        /// The record was read from the store, and no order of this owner was
        /// sent since.
        bool restored_ = false;
        /// Until then the pending order may be carried out.
        time_point held_until_{};
        /// An earlier owner's maintenance of the VM may last, or may still
        /// begin. A list that was requested later than `unsettled_until_` and
        /// doesn't show the VM in maintenance settles it.
        bool unsettled_ = false;
        wave_number unsettled_wave_ = 0;
        time_point unsettled_until_{};
    };

    duration hold_time_;
    duration min_down_time_;
    std::map<vm_id, entry> entries_;
};

} // namespace cuminfold

#endif
