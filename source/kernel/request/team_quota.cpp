#include "kernel/request/team_quota.hpp"

namespace cuminfold
{

quota_verdict team_quota::check(intended_state const& intended,
                                team_name const& team,
                                std::uint32_t gateways) const
{
    if (intended.teams_.empty())
    {
        return quota_verdict::within;
    }
    auto const spec = intended.teams_.find(team);
    if (spec == intended.teams_.end())
    {
        return quota_verdict::borrow;
    }
    std::uint32_t const share = (spec->second.slots_ + gateways - 1) / gateways;
    auto const found = in_progress_.find(team);
    std::uint32_t const in_progress =
        found == in_progress_.end() ? 0 : found->second;
    if (in_progress < share)
    {
        return quota_verdict::within;
    }
    return spec->second.may_borrow_ ? quota_verdict::borrow
                                    : quota_verdict::refuse;
}

void team_quota::acquire(team_name const& team)
{
    ++in_progress_[team];
}

void team_quota::release(team_name const& team)
{
    auto const found = in_progress_.find(team);
    if (found != in_progress_.end() && --found->second == 0)
    {
        in_progress_.erase(found);
    }
}

} // namespace cuminfold
