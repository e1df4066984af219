#include "node/forward_watch.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// A call gets its delay once more for each of these.
constexpr std::size_t bytes_per_delay = 64 * 1024;
/// Limit on the doublings of a call's delay.
constexpr std::uint32_t max_doublings = 6;
/// Checks by which an owner does not execute a call that was lost.
constexpr std::uint32_t misses_of_lost_call = 2;

} // namespace

void forward_watch::add(std::uint64_t call, owner_epoch epoch,
                        std::size_t bytes, std::uint32_t repeats,
                        time_point now)
{
    if (epoch != epoch_)
    {
        epoch_ = epoch;
        calls_.clear();
    }
    auto const doublings = std::min(repeats, max_doublings);
    auto const factor = (1 + bytes / bytes_per_delay) << doublings;
    auto const delay = delay_ * static_cast<std::int64_t>(factor);
    calls_[call] = {delay, now + delay, 0};
}

void forward_watch::remove(std::uint64_t call)
{
    calls_.erase(call);
}

std::vector<std::uint64_t> forward_watch::begin_check(time_point now)
{
    if (!checked_.empty() || now < next_check_)
    {
        return {};
    }
    for (auto const& item : calls_)
    {
        if (item.second.check_at_ <= now)
        {
            checked_.push_back(item.first);
        }
    }
    return checked_;
}

std::vector<std::uint64_t>
forward_watch::end_check(std::vector<std::uint64_t> const& executing,
                         time_point now)
{
    std::vector<std::uint64_t> lost;
    bool is_any_missing = false;
    for (auto const call : std::exchange(checked_, {}))
    {
        auto const found = calls_.find(call);
        if (found == calls_.end())
        {
            continue;
        }
        auto& state = found->second;
        bool const is_executing = std::find(executing.begin(), executing.end(),
                                            call) != executing.end();
        if (is_executing)
        {
            state.misses_ = 0;
            state.delay_ *= 2;
            state.check_at_ = now + state.delay_;
            continue;
        }
        is_any_missing = true;
        if (++state.misses_ == misses_of_lost_call)
        {
            lost.push_back(call);
        }
    }
    if (!is_any_missing)
    {
        // Bounds the load that checks add to a slow owner.
        next_check_ = now + delay_;
    }
    return lost;
}

void forward_watch::fail_check()
{
    checked_.clear();
}

void forward_watch::reject_check()
{
    for (auto const call : std::exchange(checked_, {}))
    {
        calls_.erase(call);
    }
}

} // namespace cuminfold
