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

/// A wave of maintenance: each of its VMs goes down once.
struct wave_order
{
    wave_number number_ = 0;
    std::vector<vm_id> vms_;
    /// From the order on, within which all are to be maintained.
    duration time_{0};
    std::uint32_t max_at_once_ = 1;
};

/// Whether a VM serves.
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
    /// The life of its worker; empty if none is up.
    std::string worker_;
    /// Kind and rack.
    std::vector<std::string> labels_;
    data_centre_name data_centre_;
};

/// How an order for a VM ended.
enum class vm_outcome : std::uint8_t
{
    done,      ///< begun, or was done already
    busy,      ///< it is not up
    refused,   ///< the platform takes the order for a wrong one
    fenced,    ///< a newer owner gave orders
    throttled, ///< too many orders; nothing was done
    no_answer  ///< it may have been carried out
};

} // namespace cuminfold

#endif
