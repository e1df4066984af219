#include "kernel/fleet/fleet_state.hpp"

#include "kernel/fleet/budget.hpp"

#include <utility>

namespace cuminfold
{

void fleet_state::fold(vm_added const& body, fold_context const&)
{
    vm_entry entry;
    entry.vm_ = body.vm_;
    entry.address_ = body.address_;
    entry.data_centre_ = body.data_centre_;
    entry.rack_ = body.rack_;
    entry.shape_ = body.shape_;
    // A removed VM's name may be reused. Starting at the record count keeps
    // records that expect a generation of the removed VM stale.
    entry.generation_ = data_.order_;
    if (!data_.vms_.add(std::move(entry)))
    {
        ignore(reason::record_stale);
    }
}

void fleet_state::fold(vm_removed const& body, fold_context const&)
{
    if (find_at_generation(body.vm_, body.expected_) != nullptr)
    {
        data_.vms_.remove(body.vm_);
    }
}

void fleet_state::fold(vm_assigned const& body, fold_context const& at)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    bool const known = at.intended_.pools_.count(body.pool_) != 0;
    if (entry->phase_ != vm_phase::unassigned || !known)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.pool_ = body.pool_;
                          vm.phase_ = vm_phase::serving;
                      });
    append_history(body.vm_,
                   "assigned to " + body.pool_.text() + ": " + body.cause_);
}

void fleet_state::fold(move_released const& body, fold_context const& at)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    bool const known = at.intended_.pools_.count(body.to_) != 0;
    if (entry->phase_ != vm_phase::serving || !known ||
        body.to_ == entry->pool_)
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
                          vm.phase_ = vm_phase::releasing;
                          vm.target_ = body.to_;
                          vm.released_ = vm.generation_ + 1;
                          vm.released_order_ = data_.order_;
                          vm.acknowledged_.clear();
                      });
    append_history(body.vm_,
                   "released for " + body.to_.text() + ": " + body.cause_);
}

void fleet_state::fold(move_assigned const& body, fold_context const&)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::releasing || !entry->tasks_.empty() ||
        !missing_acknowledgements(*entry).empty())
    {
        ignore(reason::acknowledgement_missing);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.pool_ = vm.target_;
                          vm.target_ = pool_name{};
                          vm.phase_ = vm_phase::serving;
                          vm.acknowledged_.clear();
                      });
    append_history(body.vm_, "moved to " + entry->pool_.text());
}

void fleet_state::fold(move_cancelled const& body, fold_context const&)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::releasing)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.target_ = pool_name{};
                          vm.phase_ = vm_phase::serving;
                          vm.acknowledged_.clear();
                      });
    append_history(body.vm_, "release taken back");
}

void fleet_state::fold(vm_acknowledged const& body, fold_context const& at)
{
    vm_entry const* entry = data_.vms_.find(body.vm_);
    bool const is_awaited = entry != nullptr &&
                            (entry->phase_ == vm_phase::releasing ||
                             entry->phase_ == vm_phase::draining) &&
                            entry->released_ == body.released_;
    if (!is_awaited)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.annotate(body.vm_, [&](vm_entry& vm)
                        { vm.acknowledged_.insert(at.record_.id_.writer_); });
}

void fleet_state::fold(vm_health const& body, fold_context const&)
{
    vm_entry const* entry = find_at_generation(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->down_ != body.up_)
    {
        // A repeated health result must not raise the generation, which would
        // make the records of a running drain or move stale.
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_, [&](vm_entry& vm) { vm.down_ = !body.up_; });
    append_history(body.vm_, body.up_ ? "found up" : "found down");
}

void fleet_state::fold(data_centre_heard const& body, fold_context const&)
{
    data_.vms_.set_reachable(body.data_centre_, body.heard_);
}

} // namespace cuminfold
