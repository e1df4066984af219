#ifndef CUMINFOLD_KERNEL_PLACEMENT_PLACEMENT_STRATEGY_HPP
#define CUMINFOLD_KERNEL_PLACEMENT_PLACEMENT_STRATEGY_HPP

#include "kernel/fleet/vm_table.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cuminfold
{

/// A VM that a job fits on.
struct placement_candidate
{
    vm_entry const* vm_ = nullptr;
    /// Tasks on the VM, those that are being placed included.
    std::uint32_t tasks_ = 0;
    /// Tasks on all VMs of its rack that serve the same pool.
    std::uint32_t rack_tasks_ = 0;
};

/// Chooses the VM that a job is placed on.
class placement_strategy
{
public:
    using factory = std::function<std::unique_ptr<placement_strategy>()>;

    static char const* kind()
    {
        return "placement strategy";
    }

    placement_strategy() = default;
    placement_strategy(placement_strategy const&) = delete;
    placement_strategy& operator=(placement_strategy const&) = delete;
    virtual ~placement_strategy() = default;

    /// The index of the chosen candidate; there is at least one.
    virtual std::size_t
    choose(std::vector<placement_candidate> const& candidates) const = 0;
};

} // namespace cuminfold

#endif
