#include "kernel/request/team_quota.hpp"

namespace cuminfold
{

quota_verdict team_quota::judge(intended_state const& intended,
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
    auto const found = held_.find(team);
    std::uint32_t const held = found == held_.end() ? 0 : found->second;
    if (held < share)
    {
        return quota_verdict::within;
    }
    return spec->second.may_borrow_ ? quota_verdict::borrow
                                    : quota_verdict::refuse;
}

void team_quota::enter(team_name const& team)
{
    ++held_[team];
}

void team_quota::leave(team_name const& team)
{
    auto const found = held_.find(team);
    if (found != held_.end() && --found->second == 0)
    {
        held_.erase(found);
    }
}

} // namespace cuminfold
