#include "kernel/cell/workspace_accounts.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

workspace_account make_account(resource_amount const& limit)
{
    workspace_account account(std::make_shared<workspace_name const>("a"));
    account.set_policy({workspace_name{"a"}, limit, 0});
    return account;
}

struct admission_row
{
    char const* name_;
    resource_amount limit_;
    std::uint32_t running_; ///< tasks of 1000, 10, 1
    resource_amount each_;
    std::uint32_t tasks_;
    bool admitted_;
};

constexpr admission_row admissions[] = {
    {"no limit", {}, 100, {1000, 10, 1}, 100, true},
    {"room for one more", {3000, 0, 0}, 2, {1000, 10, 1}, 1, true},
    {"the processor limit", {3000, 0, 0}, 3, {1, 0, 0}, 1, false},
    {"the memory limit", {0, 30, 0}, 3, {0, 1, 0}, 1, false},
    {"the accelerator limit", {0, 0, 3}, 3, {0, 0, 1}, 1, false},
    {"another dimension than the full one",
     {3000, 0, 0},
     3,
     {0, 5, 0},
     1,
     true},
    {"a gang that fits", {4000, 0, 0}, 2, {1000, 10, 1}, 2, true},
    {"a gang that does not", {4000, 0, 0}, 2, {1000, 10, 1}, 3, false},
    {"a task larger than a lowered limit",
     {500, 0, 0},
     0,
     {1000, 0, 0},
     1,
     true},
    {"the same beside another", {500, 0, 0}, 1, {1000, 0, 0}, 1, false},
    {"a gang larger than a lowered limit",
     {500, 0, 0},
     0,
     {1000, 0, 0},
     2,
     false},
};

} // namespace

// Guards against starts beyond a workspace's limit in any dimension, and
// against jobs that a lowered limit would hold for good.
TEST_CASE("a workspace starts tasks up to its limit in each dimension")
{
    for (auto const& row : admissions)
    {
        CAPTURE(std::string(row.name_));
        auto account = make_account(row.limit_);
        // An orphaned run counts like a task.
        auto orphaned = make_account(row.limit_);
        for (std::uint32_t i = 0; i < row.running_; ++i)
        {
            account.add({1000, 10, 1});
            orphaned.add_orphaned({1000, 10, 1});
        }
        CHECK(account.admits(row.each_, row.tasks_) == row.admitted_);
        CHECK(orphaned.admits(row.each_, row.tasks_) == row.admitted_);
        orphaned.clear_orphaned();
        CHECK(orphaned.usage() == resource_amount{});
    }
}

TEST_CASE("steps wider than the limit run in waves")
{
    auto const account = make_account({3000, 0, 0});
    job_step shape;
    shape.each_ = {1000, 10, 0};
    CHECK(waves(&account, shape, 3) == 1);
    CHECK(waves(&account, shape, 4) == 2);
    CHECK(waves(&account, shape, 9) == 3);
    CHECK(waves(&account, shape, 0) == 1);
    CHECK(waves(nullptr, shape, 9) == 1);
    shape.gang_ = true;
    CHECK(waves(&account, shape, 9) == 1);
}

// Guards against a gang that never starts because smaller tasks of its
// workspace take each bit of room.
TEST_CASE("a waiting gang holds back the other steps of its workspace")
{
    auto account = make_account({3000, 0, 0});
    time_point const now{10s};
    step_id const gang{job_id{"a"}, 0, 1};
    step_id const other{job_id{"b"}, 0, 1};
    account.reserve_for(gang, now);
    CHECK(account.is_reserved_from(other, now));
    CHECK_FALSE(account.is_reserved_from(gang, now));
    CHECK_FALSE(account.is_reserved_from(other, now + 600ms));
    account.reserve_for(gang, now + 600ms);
    account.reserve_for(other, now + 700ms);
    CHECK(account.is_reserved_from(other, now + 700ms));
    account.end_reservation(gang);
    CHECK_FALSE(account.is_reserved_from(other, now + 700ms));
}

namespace
{

workspace_accounts make_accounts(std::uint32_t large, std::uint32_t small)
{
    workspace_directory directory;
    directory.workspaces_[workspace_name{"large"}] = {
        workspace_name{"large"}, {}, large};
    directory.workspaces_[workspace_name{"small"}] = {
        workspace_name{"small"}, {}, small};
    workspace_accounts accounts;
    accounts.configure(&directory);
    return accounts;
}

} // namespace

// The load: one workspace sends six times its usual for a few seconds. Guards
// against a small workspace that waits behind the excess of a large one.
TEST_CASE("a workspace that sends far more than its part is beyond its share")
{
    auto accounts = make_accounts(300, 10);
    auto& large = accounts.all().at(workspace_name{"large"});
    auto& small = accounts.all().at(workspace_name{"small"});
    std::uint32_t large_beyond = 0;
    std::uint32_t small_beyond = 0;
    for (int i = 0; i < 400; ++i)
    {
        time_point const now{10s + i * 10ms};
        // 100 jobs per second of the large one: within its weight.
        large_beyond += accounts.is_beyond_share(large, true, now) ? 1 : 0;
        // 20 jobs per second of the small one, twice its weight.
        if (i % 5 == 0)
        {
            small_beyond += accounts.is_beyond_share(small, true, now) ? 1 : 0;
        }
    }
    CHECK(large_beyond == 0);
    CHECK(small_beyond > 20);
}

TEST_CASE("a small workspace's occasional jobs are within its share")
{
    auto accounts = make_accounts(300, 8);
    auto& large = accounts.all().at(workspace_name{"large"});
    auto& small = accounts.all().at(workspace_name{"small"});
    for (int i = 0; i < 400; ++i)
    {
        time_point const now{10s + i * 10ms};
        accounts.is_beyond_share(large, true, now);
        // Three jobs at once, each second.
        if (i % 100 < 3)
        {
            CHECK_FALSE(accounts.is_beyond_share(small, true, now));
        }
    }
}

TEST_CASE("a job that its client sends again counts once")
{
    auto accounts = make_accounts(300, 1);
    auto& small = accounts.all().at(workspace_name{"small"});
    time_point const now{10s};
    CHECK_FALSE(accounts.is_beyond_share(small, true, now));
    CHECK(accounts.is_beyond_share(small, false, now + 100ms));
    CHECK_FALSE(accounts.is_beyond_share(small, false, now + 1100ms));
}
