#include "kernel/fleet/fleet_state.hpp"

#include "kernel/fleet/budget.hpp"

#include <iterator>
#include <string>

namespace cuminfold
{

namespace
{

/// Erases waves that are no longer declared from the VM's maintained waves.
void erase_undeclared_waves(vm_entry& vm, intended_state const& intended)
{
    for (auto place = vm.maintained_.begin(); place != vm.maintained_.end();)
    {
        bool const undeclared = intended.waves_.count(*place) == 0;
        place = undeclared ? vm.maintained_.erase(place) : std::next(place);
    }
}

} // namespace

void fleet_state::fold(drain_granted const& body, fold_context const& at)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (data_.stopped_waves_.count(body.wave_) != 0)
    {
        ignore(reason::wave_stopped);
        return;
    }
    if (entry->phase_ != vm_phase::serving ||
        entry->maintained_.count(body.wave_) != 0)
    {
        ignore(reason::record_stale);
        return;
    }
    auto const refused =
        check_availability_budget(data_.vms_, at.intended_, *entry);
    if (refused)
    {
        ignore(*refused);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::granted;
                          vm.wave_ = body.wave_;
                      });
    append_history(body.vm_, "drain granted for wave " + body.wave_.text());
}

void fleet_state::fold(drain_started const& body, fold_context const& at)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::granted)
    {
        ignore(reason::record_stale);
        return;
    }
    // The pool may have lost VMs since the drain was granted.
    if (!entry->down_ && !is_need_met(data_.vms_, at.intended_, entry->pool_))
    {
        ignore(reason::budget_exhausted);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::draining;
                          vm.released_ = vm.generation_ + 1;
                          vm.released_order_ = data_.order_;
                          vm.acknowledged_.clear();
                      });
    append_history(body.vm_, "drain started");
}

void fleet_state::fold(drain_withdrawn const& body, fold_context const&)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::granted &&
        entry->phase_ != vm_phase::draining)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::serving;
                          vm.wave_ = wave_name{};
                          vm.acknowledged_.clear();
                      });
    append_history(body.vm_,
                   "drain taken back: " + std::string(name_of(body.cause_)));
}

void fleet_state::fold(reboot_decided const& body, fold_context const& at)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::draining || !entry->tasks_.empty() ||
        !missing_acknowledgements(*entry).empty())
    {
        ignore(reason::acknowledgement_missing);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::rebooting;
                          vm.reboot_ = at.record_.id_;
                          vm.boot_ = body.boot_;
                      });
    append_history(body.vm_, "reboot decided");
}

void fleet_state::fold(vm_returned const& body, fold_context const& at)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::rebooting)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::serving;
                          erase_undeclared_waves(vm, at.intended_);
                          vm.maintained_.insert(vm.wave_);
                          vm.wave_ = wave_name{};
                          vm.down_ = false;
                          vm.acknowledged_.clear();
                      });
    append_history(body.vm_, "returned");
}

void fleet_state::fold(wave_stopped const& body, fold_context const&)
{
    data_.stopped_waves_.emplace(body.wave_, body.cause_);
}

} // namespace cuminfold
