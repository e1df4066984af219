#ifndef CUMINFOLD_KERNEL_CELL_VM_ORDER_RECORD_HPP
#define CUMINFOLD_KERNEL_CELL_VM_ORDER_RECORD_HPP

#include "kernel/cell/wave_order.hpp"

#include <set>
#include <string>

namespace cuminfold
{

/// What the store holds of one VM's orders. It is written before an order is
/// sent, and again once the platform has begun a maintenance.
struct vm_order_record
{
    /// An order may have been sent and may still be carried out.
    bool pending_ = false;
    /// The wave of the pending order: 0 for a move, `any_wave` if the record
    /// doesn't say.
    wave_number wave_ = 0;
    /// Waves that need no further order for the VM, because its maintenance
    /// has begun. Older programs added those that the platform refused.
    std::set<wave_number> maintained_;
};

/// The wave of a pending order that may be of any wave.
constexpr wave_number any_wave = -1;

/// Encodes the record as text, one fact a line; empty if it holds none.
std::string encode(vm_order_record const& record);

/// Decodes a record. Unknown lines are ignored. A text without any known line
/// is a pending order that may be of any wave, as older programs wrote it.
vm_order_record decode_vm_order_record(std::string const& text);

} // namespace cuminfold

#endif
