#include "kernel/maintenance/pool_balance.hpp"

#include "kernel/fleet/budget.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cuminfold
{

namespace
{

template <class Map, class Key>
std::uint32_t count_at(Map const& counts, Key const& key)
{
    auto const found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

std::uint32_t positive_difference(std::uint32_t a, std::uint32_t b)
{
    return a > b ? a - b : 0;
}

rack_key rack_of(vm_entry const& vm)
{
    return {vm.data_centre_, vm.rack_};
}

void add_member(pool_status& status, vm_entry const& vm)
{
    ++status.members_;
    ++status.by_data_centre_[vm.data_centre_];
    ++status.by_rack_[rack_of(vm)];
    status.down_ += vm.down_ ? 1 : 0;
}

} // namespace

pool_balance::pool_balance(fleet_state const& fleet,
                           intended_state const& intended)
    : fleet_(fleet), intended_(intended)
{
    for (auto const& item : fleet.vms().all())
    {
        vm_entry const& vm = item.second;
        if (vm.pool_.empty())
        {
            continue;
        }
        bool const is_moving = vm.phase_ == vm_phase::releasing;
        pool_status& joined = statuses_[is_moving ? vm.target_ : vm.pool_];
        add_member(joined, vm);
        if (is_moving)
        {
            ++joined.incoming_;
            ++statuses_[vm.pool_].outgoing_;
        }
    }
}

pool_status const& pool_balance::status(pool_name const& pool) const
{
    static pool_status const none;
    auto const found = statuses_.find(pool);
    return found == statuses_.end() ? none : found->second;
}

std::uint32_t pool_balance::shortage(pool_spec const& pool,
                                     data_centre_name const& data_centre,
                                     std::uint32_t extra) const
{
    pool_status const& now = status(pool.name_);
    std::uint32_t const by_size =
        pool.spread_.empty()
            ? positive_difference(pool.size_, now.members_)
            : positive_difference(count_at(pool.spread_, data_centre),
                                  count_at(now.by_data_centre_, data_centre));
    auto const budget = intended_.budgets_.find(pool.name_);
    std::uint32_t const need =
        budget == intended_.budgets_.end() ? 0 : budget->second.need_;
    std::uint32_t const by_need =
        positive_difference(need, now.members_ - now.down_);
    return std::max({by_size, by_need, extra});
}

std::uint32_t pool_balance::drain_shortfall(pool_name const& pool) const
{
    auto const budget = intended_.budgets_.find(pool);
    if (budget == intended_.budgets_.end())
    {
        return 0;
    }
    pool_status const& now = status(pool);
    pool_usage all_available;
    all_available.available_by_rack_ = now.by_rack_;
    std::uint32_t const reserve =
        reserve_size(all_available, budget->second.reserve_, nullptr);
    return positive_difference(budget->second.need_ + reserve + 1,
                               now.members_);
}

std::uint32_t pool_balance::surplus(pool_spec const& pool,
                                    data_centre_name const& data_centre) const
{
    pool_status const& now = status(pool.name_);
    std::uint32_t const here = count_at(now.by_data_centre_, data_centre);
    if (pool.spare_)
    {
        return here;
    }
    if (!pool.spread_.empty())
    {
        return positive_difference(here, count_at(pool.spread_, data_centre));
    }
    return std::min(here, positive_difference(now.members_, pool.size_));
}

pool_name pool_balance::pool_for(vm_entry const& vm) const
{
    pool_name best;
    pool_name spare;
    auto best_score = std::make_tuple(std::numeric_limits<std::uint32_t>::max(),
                                      std::uint32_t{0});
    for (auto const& item : intended_.pools_)
    {
        pool_spec const& pool = item.second;
        if (pool.spare_)
        {
            spare = pool.name_;
        }
        std::uint32_t const missing = shortage(pool, vm.data_centre_, 0);
        std::uint32_t const in_rack =
            count_at(status(pool.name_).by_rack_, rack_of(vm));
        auto const score = std::make_tuple(
            in_rack, std::numeric_limits<std::uint32_t>::max() - missing);
        if (missing != 0 && (best.empty() || score < best_score))
        {
            best = pool.name_;
            best_score = score;
        }
    }
    return best.empty() ? spare : best;
}

bool pool_balance::can_leave(vm_entry const& vm, pool_name const& target) const
{
    if (vm.phase_ != vm_phase::serving || vm.down_ || vm.pool_ == target)
    {
        return false;
    }
    auto const pool = intended_.pools_.find(vm.pool_);
    bool const is_needed = pool != intended_.pools_.end() &&
                           surplus(pool->second, vm.data_centre_) == 0;
    return !is_needed &&
           !check_availability_budget(fleet_.vms(), intended_, vm);
}

vm_entry const*
pool_balance::source_vm(pool_name const& target,
                        data_centre_name const& data_centre) const
{
    vm_entry const* best = nullptr;
    auto score_of = [&](vm_entry const& vm)
    {
        auto const pool = intended_.pools_.find(vm.pool_);
        bool const declared = pool != intended_.pools_.end();
        bool const serves = declared && !pool->second.spare_;
        std::uint32_t const over =
            serves ? surplus(pool->second, data_centre) : 0;
        return std::make_tuple(serves, vm.tasks_.size(),
                               std::numeric_limits<std::uint32_t>::max() - over,
                               count_at(status(target).by_rack_, rack_of(vm)));
    };
    for (auto const& item : fleet_.vms().all())
    {
        vm_entry const& vm = item.second;
        if (vm.data_centre_ == data_centre && can_leave(vm, target) &&
            (best == nullptr || score_of(vm) < score_of(*best)))
        {
            best = &vm;
        }
    }
    return best;
}

std::optional<data_centre_name>
pool_balance::source_data_centre(pool_name const& target) const
{
    std::optional<data_centre_name> first;
    for (auto const& item : fleet_.vms().all())
    {
        vm_entry const& vm = item.second;
        bool const better = !first || vm.data_centre_ < *first;
        if (better && fleet_.vms().unreachable().count(vm.data_centre_) == 0 &&
            can_leave(vm, target))
        {
            first = vm.data_centre_;
        }
    }
    return first;
}

void pool_balance::add_pending_assignment(vm_entry const& vm,
                                          pool_name const& pool)
{
    add_member(statuses_[pool], vm);
}

} // namespace cuminfold
