#include "kernel/request/team_quota.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;

TEST_CASE("a team's quota is shared by the gateways, with borrowing")
{
    intended_state intended;
    intended.teams_[team_name{"a"}] = {team_name{"a"}, 4, true};
    intended.teams_[team_name{"b"}] = {team_name{"b"}, 4, false};
    struct row
    {
        char const* team_;
        int in_progress_;
        quota_verdict verdict_;
    };
    for (auto const& at : {row{"a", 1, quota_verdict::within},
                           row{"a", 2, quota_verdict::borrow},
                           row{"b", 1, quota_verdict::within},
                           row{"b", 2, quota_verdict::refuse},
                           row{"none", 0, quota_verdict::borrow}})
    {
        CAPTURE(at.team_);
        CAPTURE(at.in_progress_);
        team_quota quota;
        team_name const team{at.team_};
        for (int i = 0; i < at.in_progress_; ++i)
        {
            quota.acquire(team);
        }
        CHECK(quota.check(intended, team, 2) == at.verdict_);
        quota.release(team);
        CHECK(quota.check(intended_state{}, team, 2) == quota_verdict::within);
    }
}
