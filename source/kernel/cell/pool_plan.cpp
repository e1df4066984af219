#include "kernel/cell/pool_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfold
{

namespace
{

/// Capacity per unit of measured demand. The excess covers resources that are
/// left unused because tasks do not fit, and changes of the demand.
constexpr double headroom = 1.25;
/// Accepted work should complete within this many seconds.
constexpr double backlog_seconds = 1.5;
/// Late work has little value and may take this long.
constexpr double late_backlog_seconds = 10;
/// Every serving pool keeps this many workers for jobs that arrive before a VM
/// could be moved to it.
constexpr std::uint32_t min_workers = 3;

} // namespace

std::uint32_t target_workers(pool_load const& load)
{
    if (load.standby_)
    {
        return 0;
    }
    double const busy =
        std::max(load.rate_ * headroom, load.backlog_ / backlog_seconds) +
        load.late_backlog_ / late_backlog_seconds;
    return std::max(load.fixed_, min_workers) +
           static_cast<std::uint32_t>(std::ceil(busy));
}

std::vector<planned_move> plan_moves(std::vector<pool_load> const& loads)
{
    struct deficit
    {
        pool_load const* load_;
        std::uint32_t available_;
        std::uint32_t target_;
    };
    struct surplus
    {
        pool_load const* load_;
        std::uint32_t movable_;
        /// Free VMs come first.
        std::vector<vm_id> candidates_;
    };
    std::vector<deficit> deficits;
    std::vector<surplus> surpluses;
    for (auto const& load : loads)
    {
        auto const target = target_workers(load);
        auto const available = load.workers_ + load.incoming_;
        if (target > available)
        {
            deficits.push_back({&load, available, target});
        }
        else if (load.workers_ > target)
        {
            surplus from{&load, load.workers_ - target, load.free_};
            from.candidates_.insert(from.candidates_.end(),
                                    load.emptying_.begin(),
                                    load.emptying_.end());
            surpluses.push_back(std::move(from));
        }
    }
    std::sort(surpluses.begin(), surpluses.end(),
              [](surplus const& a, surplus const& b)
              {
                  return a.load_->standby_ != b.load_->standby_
                             ? a.load_->standby_
                             : a.movable_ > b.movable_;
              });
    // Each VM goes to the pool with the smallest share of its target. A pool
    // whose target exceeds all VMs would otherwise get every one of them.
    std::vector<planned_move> moves;
    auto const serves_less = [](deficit const& a, deficit const& b)
    {
        return std::uint64_t{a.available_} * b.target_ <
               std::uint64_t{b.available_} * a.target_;
    };
    for (auto& from : surpluses)
    {
        for (std::size_t next = 0; from.movable_ > 0 && !deficits.empty() &&
                                   next < from.candidates_.size();
             ++next, --from.movable_)
        {
            auto const least_served =
                std::min_element(deficits.begin(), deficits.end(), serves_less);
            moves.push_back({from.candidates_[next], from.load_->pool_,
                             least_served->load_->pool_});
            if (++least_served->available_ == least_served->target_)
            {
                deficits.erase(least_served);
            }
        }
    }
    return moves;
}

} // namespace cuminfold
