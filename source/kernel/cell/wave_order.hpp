#ifndef CUMINFOLD_KERNEL_CELL_WAVE_ORDER_HPP
#define CUMINFOLD_KERNEL_CELL_WAVE_ORDER_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfold
{

using wave_number = std::int64_t;

/// An order to maintain a set of VMs, each once.
struct wave_order
{
    wave_number number_ = 0;
    std::vector<vm_id> vms_;
    /// Time from the order within which all VMs should be maintained.
    duration time_{0};
    /// Limit on VMs that are down for the wave at the same time.
    std::uint32_t max_at_once_ = 1;
};

/// The status of a VM.
enum class vm_status : std::uint8_t
{
    up,
    moving,
    maintained,
    down
};

/// A VM as the platform lists it.
struct listed_vm
{
    vm_id vm_;
    pool_name pool_;
    vm_status status_ = vm_status::down;
    /// Id of the incarnation of its worker; empty if no worker is up.
    std::string worker_;
    /// The VM's kind and rack.
    std::vector<std::string> labels_;
    data_centre_name data_centre_;
};

/// The platform's list of VMs.
struct vm_list
{
    std::vector<listed_vm> vms_;
    /// False if a row was malformed, so that a VM may be missing.
    bool is_complete_ = true;
};

/// The result of an order for a VM.
enum class vm_outcome : std::uint8_t
{
    done, ///< the operation began, or was done before
    busy, ///< the VM is not up
    /// The platform rejected the order as invalid. This proves neither that the
    /// operation is done nor that it is not needed.
    refused,
    fenced,    ///< a newer owner has sent orders
    throttled, ///< too many orders; this one had no effect
    no_answer  ///< the order may have been carried out
};

} // namespace cuminfold

#endif
