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

/// A VM that a wave may drain now.
struct wave_candidate
{
    vm_id vm_;
    pool_name pool_;
    rack_key rack_;
    /// A VM that is down does not count against `allowed_disruptions_`.
    bool down_ = false;
};

/// Progress of one wave in one data centre, the input of a strategy.
struct wave_view
{
    /// Sorted by rack, then by VM.
    std::vector<wave_candidate> candidates_;
    /// VMs of the wave in this data centre.
    std::uint32_t total_ = 0;
    /// VMs from the grant of their drain to their return, without those that
    /// failed to return.
    std::uint32_t in_progress_ = 0;
    /// `in_progress_` summed over all data centres.
    std::uint32_t fleet_in_progress_ = 0;
    /// VMs in progress or ready to be drained in the data centres that precede
    /// this one by name.
    std::uint32_t remaining_before_ = 0;
    /// VMs that have returned from the wave's reboot.
    std::uint32_t returned_ = 0;
    /// VMs that the wave's reboot left down.
    std::uint32_t failed_ = 0;
    /// VMs that must return before the wave widens.
    std::uint32_t canary_ = 1;
    /// VMs that may still leave each pool; see `allowed_disruptions`.
    std::map<pool_name, std::uint32_t> allowed_disruptions_;
    /// VMs of the wave by rack, from the grant to the return, including those
    /// that failed to return.
    std::map<rack_key, std::uint32_t> in_progress_by_rack_;
};

/// Chooses which VMs of a wave to drain now. A strategy decides pace and order
/// only: the fold checks each grant against the pool's budget.
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

    /// The VMs to drain now, a subset of the candidates.
    virtual std::vector<vm_id> propose(wave_view const& view) const = 0;
};

/// The first candidates, `limit` at most, whose pools allow their disruption.
/// In the canary step VMs that are down are left out.
std::vector<vm_id> select_within_budget(wave_view const& view,
                                        std::uint32_t limit);

/// Maximum number of further VMs to drain now. In the canary step the VMs that
/// returned or are in progress may not exceed the canary; later the VMs in
/// progress may not exceed the canary plus the VMs that returned.
std::uint32_t progressive_rollout_limit(wave_view const& view);

} // namespace cuminfold

#endif
