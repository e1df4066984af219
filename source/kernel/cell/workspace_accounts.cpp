#include "kernel/cell/workspace_accounts.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace cuminfold
{

namespace
{

/// How long a reservation for a gang lasts unless it is renewed.
constexpr duration reservation_time = std::chrono::milliseconds{500};
/// Minimum time between two log lines about one workspace's limit.
constexpr duration log_interval = std::chrono::seconds{1};
/// Time constant with which `recent_jobs_` decays: queues send by turns of a
/// few seconds.
constexpr double share_seconds = 4;
/// A workspace is beyond its part of all jobs only if it sends so many times as
/// many, and so many jobs more: a small one sends few jobs at random times.
constexpr double share_factor = 2;
constexpr double share_allowance = 4;
/// A workspace with fewer recent jobs does not compete for a share.
constexpr double min_recent_jobs = 0.5;

constexpr std::array<std::int64_t resource_amount::*, 3> dimensions = {
    &resource_amount::cpu_milli_, &resource_amount::memory_mb_,
    &resource_amount::accelerators_};

bool is_within(resource_amount const& amount, resource_amount const& limit)
{
    return std::all_of(dimensions.begin(), dimensions.end(),
                       [&](auto const dimension) {
                           return limit.*dimension == 0 ||
                                  amount.*dimension <= limit.*dimension;
                       });
}

} // namespace

workspace_account::workspace_account(shared_workspace name)
    : name_(std::move(name))
{
}

resource_amount workspace_account::usage() const noexcept
{
    auto sum = used_;
    sum += orphaned_;
    return sum;
}

void workspace_account::set_policy(workspace_policy const& policy)
{
    limit_ = policy.limit_;
    weight_ = policy.weight_;
}

bool workspace_account::admits(resource_amount const& each,
                               std::uint32_t tasks) const
{
    if (tasks == 1 && tasks_ == 0 && orphaned_runs_ == 0)
    {
        return true;
    }
    auto sum = usage();
    sum += each * tasks;
    return is_within(sum, limit_);
}

bool workspace_account::exceeds_limit() const
{
    return tasks_ + orphaned_runs_ > 1 && !is_within(usage(), limit_);
}

bool workspace_account::can_ever_admit(resource_amount const& each,
                                       std::uint32_t tasks) const
{
    return is_within(each * tasks, limit_);
}

std::uint32_t workspace_account::max_parallel(resource_amount const& each) const
{
    std::int64_t tasks = std::numeric_limits<std::uint32_t>::max();
    for (auto const dimension : dimensions)
    {
        if (limit_.*dimension > 0 && each.*dimension > 0)
        {
            tasks = std::min(tasks, limit_.*dimension / each.*dimension);
        }
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, tasks));
}

void workspace_account::add(resource_amount const& each) noexcept
{
    used_ += each;
    ++tasks_;
}

void workspace_account::remove(resource_amount const& each) noexcept
{
    used_ -= each;
    --tasks_;
}

void workspace_account::clear_orphaned() noexcept
{
    orphaned_ = {};
    orphaned_runs_ = 0;
}

void workspace_account::add_orphaned(resource_amount const& each) noexcept
{
    orphaned_ += each;
    ++orphaned_runs_;
}

void workspace_account::reserve_for(step_id const& gang, time_point now)
{
    if (is_reserved_from(gang, now))
    {
        return;
    }
    reserved_for_ = gang;
    reserved_until_ = now + reservation_time;
}

void workspace_account::end_reservation(step_id const& gang)
{
    if (reserved_for_ && !(*reserved_for_ < gang) && !(gang < *reserved_for_))
    {
        reserved_for_.reset();
    }
}

bool workspace_account::is_reserved_from(step_id const& step,
                                         time_point now) const
{
    return reserved_for_ && now < reserved_until_ &&
           (*reserved_for_ < step || step < *reserved_for_);
}

bool workspace_account::must_log_hold(time_point now)
{
    ++holds_;
    if (now < next_log_)
    {
        return false;
    }
    next_log_ = now + log_interval;
    return true;
}

std::uint32_t waves(workspace_account const* account, job_step const& shape,
                    std::uint32_t tasks)
{
    if (account == nullptr || shape.gang_ || tasks == 0)
    {
        return 1;
    }
    auto const parallel = account->max_parallel(shape.each_);
    return 1 + (tasks - 1) / parallel;
}

void workspace_accounts::configure(workspace_directory const* directory)
{
    if (directory == nullptr)
    {
        return;
    }
    for (auto const& item : directory->workspaces_)
    {
        auto const found = accounts_.find(item.first);
        auto* const account =
            found != accounts_.end()
                ? &found->second
                : ensure(std::make_shared<workspace_name const>(item.first));
        account->set_policy(item.second);
    }
}

workspace_account* workspace_accounts::ensure(shared_workspace const& name)
{
    return name ? &accounts_.try_emplace(*name, name).first->second : nullptr;
}

bool workspace_accounts::is_beyond_share(workspace_account& account,
                                         bool is_new, time_point now)
{
    if (account.weight_ == 0)
    {
        return false;
    }
    double jobs = 0;
    double weights = 0;
    for (auto& item : accounts_)
    {
        auto& each = item.second;
        if (each.weight_ == 0)
        {
            continue;
        }
        bool const is_first = each.updated_at_ == time_point{};
        double const passed = is_first ? 1 : to_seconds(now - each.updated_at_);
        each.updated_at_ = now;
        each.tokens_ = std::min<double>(each.weight_,
                                        each.tokens_ + passed * each.weight_);
        each.recent_jobs_ *= std::exp(-passed / share_seconds);
        jobs += each.recent_jobs_;
        bool const competes =
            &each == &account || each.recent_jobs_ > min_recent_jobs;
        weights += competes ? each.weight_ : 0;
    }
    bool const is_beyond =
        account.tokens_ < 1 ||
        account.recent_jobs_ >
            share_allowance + share_factor * jobs * account.weight_ / weights;
    if (is_new)
    {
        account.tokens_ = std::max(0.0, account.tokens_ - 1);
        account.recent_jobs_ += 1;
    }
    return is_beyond;
}

} // namespace cuminfold
