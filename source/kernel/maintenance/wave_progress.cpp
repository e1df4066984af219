#include "kernel/maintenance/wave_progress.hpp"

#include "kernel/fleet/budget.hpp"
#include "kernel/maintenance/window.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace cuminfold
{

namespace
{

/// One failure is tolerated per this many VMs that returned or failed.
constexpr std::uint32_t vms_per_tolerated_failure = 5;

void add_candidate(wave_view& view, vm_entry const& vm)
{
    view.candidates_.push_back(
        {vm.vm_, vm.pool_, {vm.data_centre_, vm.rack_}, vm.down_});
}

bool failed_to_return(vm_entry const& vm)
{
    return vm.phase_ == vm_phase::rebooting && vm.down_;
}

/// Racks with VMs that are down for another reason than a reboot.
std::set<rack_key> failing_racks(vm_table const& vms)
{
    std::set<rack_key> racks;
    for (auto const& item : vms.all())
    {
        vm_entry const& vm = item.second;
        if (vm.down_ && !failed_to_return(vm))
        {
            racks.insert({vm.data_centre_, vm.rack_});
        }
    }
    return racks;
}

void add_in_progress(wave_view& view, vm_entry const& vm,
                     std::set<rack_key> const& failing)
{
    rack_key const rack{vm.data_centre_, vm.rack_};
    ++view.in_progress_by_rack_[rack];
    if (!failed_to_return(vm))
    {
        ++view.in_progress_;
        return;
    }
    // A failure is not attributed to the wave if the VM was down before its
    // reboot or if other VMs of its rack are down outside a reboot.
    bool const is_caused_by_wave = vm.boot_ != 0 && failing.count(rack) == 0;
    view.failed_ += is_caused_by_wave ? 1 : 0;
}

} // namespace

bool wave_covers(wave_spec const& wave, vm_entry const& vm)
{
    return std::find(wave.pools_.begin(), wave.pools_.end(), vm.pool_) !=
               wave.pools_.end() ||
           std::find(wave.vms_.begin(), wave.vms_.end(), vm.vm_) !=
               wave.vms_.end();
}

wave_view make_wave_view(fleet_state const& fleet,
                         intended_state const& intended, wave_spec const& wave,
                         data_centre_name const& data_centre, wall_time now)
{
    wave_view view;
    view.canary_ = wave.canary_;
    auto const failing = failing_racks(fleet.vms());
    for (auto const& item : fleet.vms().all())
    {
        vm_entry const& vm = item.second;
        bool const in_wave =
            vm.wave_ == wave.name_ && vm.phase_ != vm_phase::serving;
        if (vm.pool_.empty() || (!in_wave && !wave_covers(wave, vm)))
        {
            continue;
        }
        bool const failed = failed_to_return(vm);
        bool const remains =
            !failed && vm.maintained_.count(wave.name_) == 0 &&
            (in_wave || wave_may_drain(intended, wave, vm, now));
        view.fleet_in_progress_ += in_wave && !failed ? 1 : 0;
        view.remaining_before_ +=
            remains && vm.data_centre_ < data_centre ? 1 : 0;
        if (vm.data_centre_ != data_centre)
        {
            continue;
        }
        ++view.total_;
        if (in_wave)
        {
            add_in_progress(view, vm, failing);
        }
        else if (vm.maintained_.count(wave.name_) != 0)
        {
            ++view.returned_;
        }
        else if (vm.phase_ == vm_phase::serving &&
                 wave_may_drain(intended, wave, vm, now))
        {
            add_candidate(view, vm);
            view.allowed_disruptions_[vm.pool_] = 0;
        }
    }
    for (auto& item : view.allowed_disruptions_)
    {
        item.second = allowed_disruptions(fleet.vms(), intended, item.first);
    }
    std::sort(view.candidates_.begin(), view.candidates_.end(),
              [](wave_candidate const& a, wave_candidate const& b)
              { return std::tie(a.rack_, a.vm_) < std::tie(b.rack_, b.vm_); });
    return view;
}

bool wave_must_stop(wave_view const& view)
{
    if (view.failed_ == 0)
    {
        return false;
    }
    if (view.returned_ < view.canary_)
    {
        return true;
    }
    return view.failed_ > 1 && view.failed_ * vms_per_tolerated_failure >
                                   view.returned_ + view.failed_;
}

std::vector<vm_id> select_within_budget(wave_view const& view,
                                        std::uint32_t limit)
{
    std::vector<vm_id> chosen;
    auto allowed = view.allowed_disruptions_;
    for (auto const& candidate : view.candidates_)
    {
        if (chosen.size() >= limit)
        {
            break;
        }
        std::uint32_t& left = allowed[candidate.pool_];
        // A canary VM must be healthy before its drain: the reboot of a VM that
        // is down does not show whether the wave's change is safe.
        bool const canary = view.returned_ < view.canary_;
        if (candidate.down_ ? canary : left == 0)
        {
            continue;
        }
        left -= candidate.down_ ? 0 : 1;
        chosen.push_back(candidate.vm_);
    }
    return chosen;
}

std::uint32_t progressive_rollout_limit(wave_view const& view)
{
    std::uint32_t const width = view.returned_ < view.canary_
                                    ? view.canary_ - view.returned_
                                    : view.canary_ + view.returned_;
    return width > view.in_progress_ ? width - view.in_progress_ : 0;
}

} // namespace cuminfold
