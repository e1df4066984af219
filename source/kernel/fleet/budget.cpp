#include "kernel/fleet/budget.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

std::uint32_t largest_rack(pool_usage const& usage, vm_entry const* leaving)
{
    std::uint32_t largest = 0;
    for (auto const& item : usage.available_by_rack_)
    {
        std::uint32_t count = item.second;
        if (leaving != nullptr && leaving->phase_ == vm_phase::serving &&
            item.first == rack_key{leaving->data_centre_, leaving->rack_})
        {
            --count;
        }
        largest = std::max(largest, count);
    }
    return largest;
}

} // namespace

std::uint32_t reserve_size(pool_usage const& usage, reserve_kind kind,
                           vm_entry const* leaving)
{
    switch (kind)
    {
    case reserve_kind::none:
        return 0;
    case reserve_kind::vm:
        return 1;
    case reserve_kind::rack:
        return largest_rack(usage, leaving);
    }
    return 0;
}

bool is_need_met(vm_table const& vms, intended_state const& intended,
                 pool_name const& pool)
{
    auto const found = intended.budgets_.find(pool);
    return found == intended.budgets_.end() ||
           vms.usage(pool).available_ >= found->second.need_;
}

std::uint32_t allowed_disruptions(vm_table const& vms,
                                  intended_state const& intended,
                                  pool_name const& pool)
{
    pool_usage const& usage = vms.usage(pool);
    auto const found = intended.budgets_.find(pool);
    if (found == intended.budgets_.end())
    {
        return usage.available_;
    }
    budget_spec const& budget = found->second;
    std::uint32_t const kept =
        budget.need_ + reserve_size(usage, budget.reserve_, nullptr);
    std::uint32_t allowed =
        usage.available_ > kept ? usage.available_ - kept : 0;
    if (budget.max_draining_ != 0)
    {
        std::uint32_t const left = budget.max_draining_ > usage.leaving_
                                       ? budget.max_draining_ - usage.leaving_
                                       : 0;
        allowed = std::min(allowed, left);
    }
    return allowed;
}

std::optional<reason> check_availability_budget(vm_table const& vms,
                                                intended_state const& intended,
                                                vm_entry const& leaving)
{
    auto const found = intended.budgets_.find(leaving.pool_);
    if (found == intended.budgets_.end())
    {
        return std::nullopt;
    }
    budget_spec const& budget = found->second;
    pool_usage const& usage = vms.usage(leaving.pool_);
    if (budget.max_draining_ != 0 && usage.leaving_ >= budget.max_draining_)
    {
        return reason::budget_exhausted;
    }
    if (leaving.down_)
    {
        return std::nullopt;
    }
    // A VM in an unreachable data centre is not counted as available, but it
    // may still serve there. It may leave only if the pool meets its need
    // without it.
    bool const counted = leaving.phase_ == vm_phase::serving &&
                         vms.unreachable().count(leaving.data_centre_) == 0;
    std::uint32_t const remaining = usage.available_ - (counted ? 1 : 0);
    vm_entry const* removed = counted ? &leaving : nullptr;
    if (remaining < budget.need_)
    {
        return reason::budget_exhausted;
    }
    if (remaining <
        budget.need_ + reserve_size(usage, budget.reserve_, removed))
    {
        return reason::reserve_exhausted;
    }
    return std::nullopt;
}

std::uint32_t drain_shortfall(vm_table const& vms,
                              intended_state const& intended,
                              pool_name const& pool)
{
    auto const found = intended.budgets_.find(pool);
    if (found == intended.budgets_.end())
    {
        return 0;
    }
    std::map<rack_key, std::uint32_t> members;
    std::uint32_t total = 0;
    std::uint32_t largest = 0;
    for (auto const& item : vms.all())
    {
        vm_entry const& entry = item.second;
        if (entry.pool_ == pool)
        {
            ++total;
            auto& count = members[{entry.data_centre_, entry.rack_}];
            largest = std::max(largest, ++count);
        }
    }
    std::uint32_t reserve = 0;
    if (found->second.reserve_ == reserve_kind::vm)
    {
        reserve = 1;
    }
    if (found->second.reserve_ == reserve_kind::rack)
    {
        reserve = largest;
    }
    std::uint32_t const wanted = found->second.need_ + reserve + 1;
    return wanted > total ? wanted - total : 0;
}

} // namespace cuminfold
