#ifndef CUMINFOLD_KERNEL_REQUEST_TEAM_QUOTA_HPP
#define CUMINFOLD_KERNEL_REQUEST_TEAM_QUOTA_HPP

#include "kernel/identifier.hpp"
#include "kernel/intended_state.hpp"

#include <cstdint>
#include <map>

namespace cuminfold
{

/// Result of a quota check for one more request.
enum class quota_verdict
{
    within,
    borrow, ///< over the quota; may use slots that other teams leave idle
    refuse
};

/// Counts the requests in progress of each team against this gateway's share of
/// the team's quota.
class team_quota
{
public:
    /// Without any configured team every request is within its quota; an
    /// unknown team only borrows.
    /// @param gateways Number of gateways that share each quota, at least 1.
    quota_verdict check(intended_state const& intended, team_name const& team,
                        std::uint32_t gateways) const;

    /// Counts an admitted request of the team.
    void acquire(team_name const& team);
    /// Removes a request of the team that has ended.
    void release(team_name const& team);

private:
    std::map<team_name, std::uint32_t> in_progress_;
};

} // namespace cuminfold

#endif
