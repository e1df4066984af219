#ifndef CUMINFOLD_KERNEL_REQUEST_TEAM_QUOTA_HPP
#define CUMINFOLD_KERNEL_REQUEST_TEAM_QUOTA_HPP

#include "kernel/identifier.hpp"
#include "kernel/intended_state.hpp"

#include <cstdint>
#include <map>

namespace cuminfold
{

/// What a team's quota says of one more request.
enum class quota_verdict
{
    within,
    borrow, ///< over the quota; may use what others leave idle
    refuse
};

/// Counts each team's requests against this gateway's share of its quota.
class team_quota
{
public:
    /// @param gateways Gateways that the quotas are divided by, at least 1.
    quota_verdict judge(intended_state const& intended, team_name const& team,
                        std::uint32_t gateways) const;

    /// A request of the team is taken.
    void enter(team_name const& team);
    /// A request of the team has ended.
    void leave(team_name const& team);

private:
    std::map<team_name, std::uint32_t> held_;
};

} // namespace cuminfold

#endif
