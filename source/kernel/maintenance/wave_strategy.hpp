#ifndef CUMINFOLD_KERNEL_MAINTENANCE_WAVE_STRATEGY_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_WAVE_STRATEGY_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/identifier.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cuminfold
{

/// A VM that a wave may propose now.
struct wave_candidate
{
    vm_id vm_;
    pool_name pool_;
    rack_key rack_;
    /// A VM that is down costs its pool nothing.
    bool down_ = false;
};

/// What a strategy plans by: one wave in one data centre.
struct wave_view
{
    /// In the order of racks, then VMs.
    std::vector<wave_candidate> candidates_;
    std::uint32_t total_ = 0;
    /// VMs of the wave from the grant to the return.
    std::uint32_t in_progress_ = 0;
    /// The same in all data centres.
    std::uint32_t fleet_in_progress_ = 0;
    /// VMs of the wave that data centres before this one, by name, have left.
    std::uint32_t remaining_before_ = 0;
    std::uint32_t returned_ = 0;
    std::uint32_t failed_ = 0;
    std::uint32_t canary_ = 1;
    /// VMs that each pool can still spare.
    std::map<pool_name, std::uint32_t> allowed_disruptions_;
    /// VMs of the wave in progress, by rack.
    std::map<rack_key, std::uint32_t> in_progress_by_rack_;
};

/// Chooses which VMs of a wave to drain now. A strategy decides pace and order
/// only: the fold judges each grant by the pool's budget.
class wave_strategy
{
public:
    using factory = std::function<std::unique_ptr<wave_strategy>()>;

    static char const* kind()
    {
        return "wave strategy";
    }

    wave_strategy() = default;
    wave_strategy(wave_strategy const&) = delete;
    wave_strategy& operator=(wave_strategy const&) = delete;
    virtual ~wave_strategy() = default;

    /// The VMs to propose, a subset of the candidates.
    virtual std::vector<vm_id> propose(wave_view const& view) const = 0;
};

/// The first candidates, `limit` at most, that their pools have room for.
std::vector<vm_id> select_within_budget(wave_view const& view,
                                        std::uint32_t limit);

/// Upper bound of the VMs in progress while the wave is in its canary step and
/// as it widens: as many again as have returned healthy.
std::uint32_t progressive_rollout_limit(wave_view const& view);

} // namespace cuminfold

#endif
