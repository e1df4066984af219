#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace cuminfold
{

namespace
{

/// Returns true if the candidate is down or its pool can spare it.
bool has_room(wave_view const& view, wave_candidate const& candidate)
{
    auto const room = view.allowed_disruptions_.find(candidate.pool_);
    return candidate.down_ ||
           (room != view.allowed_disruptions_.end() && room->second != 0);
}

/// Returns the first rack that has VMs in progress and a candidate that its
/// pool can spare, else the first rack with such a candidate, else the first
/// rack. The candidates must not be empty.
rack_key current_rack(wave_view const& view)
{
    rack_key first = view.candidates_.front().rack_;
    bool found = false;
    for (auto const& candidate : view.candidates_)
    {
        if (!has_room(view, candidate))
        {
            continue;
        }
        if (view.in_progress_by_rack_.count(candidate.rack_) != 0)
        {
            return candidate.rack_;
        }
        first = found ? first : candidate.rack_;
        found = true;
    }
    return first;
}

/// Drains the canary first, then finishes each rack before it begins the next,
/// so that only one rack's work is disrupted at a time and no VM is moved for
/// the wave.
class fewest_moves : public wave_strategy
{
public:
    std::vector<vm_id> propose(wave_view const& view) const override
    {
        if (view.candidates_.empty())
        {
            return {};
        }
        wave_view one_rack = view;
        rack_key const rack = current_rack(view);
        auto& candidates = one_rack.candidates_;
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                        [&](wave_candidate const& candidate)
                                        { return candidate.rack_ != rack; }),
                         candidates.end());
        return select_within_budget(one_rack, progressive_rollout_limit(view));
    }
};

registrar<wave_strategy> const registered{
    "fewest_moves", [] { return std::make_unique<fewest_moves>(); }};

} // namespace

} // namespace cuminfold
