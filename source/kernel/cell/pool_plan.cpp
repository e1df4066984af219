#include "kernel/cell/pool_plan.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfold
{

namespace
{

/// Room beside the measured demand, for what does not fit together and for
/// its changes.
constexpr double headroom = 1.25;
/// Accepted work should be done within this many seconds.
constexpr double backlog_seconds = 1.5;
/// Late work earns little, and may take this long.
constexpr double late_backlog_seconds = 10;
/// Every pool that serves keeps this many workers, for jobs that come before
/// a VM could.
constexpr std::uint32_t least_workers = 3;

} // namespace

std::uint32_t wanted_workers(pool_load const& load)
{
    if (load.standby_)
    {
        return 0;
    }
    double const busy =
        std::max(load.rate_ * headroom, load.backlog_ / backlog_seconds) +
        load.late_backlog_ / late_backlog_seconds;
    return std::max(load.fixed_, least_workers) +
           static_cast<std::uint32_t>(std::ceil(busy));
}

std::vector<planned_move> plan_moves(std::vector<pool_load> const& loads)
{
    struct lack
    {
        pool_load const* load_;
        std::uint32_t has_;
        std::uint32_t wanted_;
    };
    struct surplus
    {
        pool_load const* load_;
        std::uint32_t vms_;
        /// Free ones first.
        std::vector<vm_id> vms_to_give_;
    };
    std::vector<lack> lacks;
    std::vector<surplus> surpluses;
    for (auto const& load : loads)
    {
        auto const wanted = wanted_workers(load);
        auto const has = load.workers_ + load.incoming_;
        if (wanted > has)
        {
            lacks.push_back({&load, has, wanted});
        }
        else if (load.workers_ > wanted)
        {
            surplus from{&load, load.workers_ - wanted, load.free_};
            from.vms_to_give_.insert(from.vms_to_give_.end(),
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
                             : a.vms_ > b.vms_;
              });
    // One at a time to the pool that has the least of what it wants: one that
    // wants more than all there is would take everything.
    std::vector<planned_move> moves;
    auto const fed = [](lack const& a, lack const& b)
    {
        return std::uint64_t{a.has_} * b.wanted_ <
               std::uint64_t{b.has_} * a.wanted_;
    };
    for (auto& from : surpluses)
    {
        for (std::size_t next = 0;
             from.vms_ > 0 && !lacks.empty() && next < from.vms_to_give_.size();
             ++next, --from.vms_)
        {
            auto const neediest =
                std::min_element(lacks.begin(), lacks.end(), fed);
            moves.push_back({from.vms_to_give_[next], from.load_->pool_,
                             neediest->load_->pool_});
            if (++neediest->has_ == neediest->wanted_)
            {
                lacks.erase(neediest);
            }
        }
    }
    return moves;
}

} // namespace cuminfold
