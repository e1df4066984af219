#ifndef CUMINFOLD_KERNEL_CELL_WORKSPACE_ACCOUNTS_HPP
#define CUMINFOLD_KERNEL_CELL_WORKSPACE_ACCOUNTS_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/workspace.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace cuminfold
{

/// What the tasks of one workspace occupy, against its limit, and how many jobs
/// it has sent recently, against its share.
class workspace_account
{
public:
    explicit workspace_account(shared_workspace name);

    shared_workspace const& name() const noexcept
    {
        return name_;
    }
    resource_amount const& limit() const noexcept
    {
        return limit_;
    }
    /// What all tasks and orphaned runs occupy.
    resource_amount usage() const noexcept;
    /// Tasks that may run.
    std::uint32_t tasks() const noexcept
    {
        return tasks_;
    }

    void set_policy(workspace_policy const& policy);

    /// Whether tasks of that size may start now, all of them. A workspace that
    /// runs nothing may start one task of any size, since a limit that was
    /// lowered would hold a larger one for good.
    bool admits(resource_amount const& each, std::uint32_t tasks = 1) const;
    /// Whether more is running than the limit allows, except a single task.
    bool exceeds_limit() const;
    /// Whether so many tasks could start if nothing else ran.
    bool can_ever_admit(resource_amount const& each, std::uint32_t tasks) const;
    /// How many tasks of that size the limit allows at the same time; at least
    /// 1.
    std::uint32_t max_parallel(resource_amount const& each) const;

    /// A task was assigned to a worker, or is not any more.
    void add(resource_amount const& each) noexcept;
    void remove(resource_amount const& each) noexcept;
    /// @name Orphaned runs, which are counted anew at each placement
    /// @{
    void clear_orphaned() noexcept;
    void add_orphaned(resource_amount const& each) noexcept;
    /// @}

    /// A gang lacks room within the limit. For a while no other step of the
    /// workspace starts, so that running tasks make room for it.
    void reserve_for(step_id const& gang, time_point now);
    /// That gang has room.
    void end_reservation(step_id const& gang);
    /// Whether that step has to wait for a gang.
    bool is_reserved_from(step_id const& step, time_point now) const;

    /// Whether it is time to log again that the limit holds tasks back.
    bool must_log_hold(time_point now);
    /// How often the limit held back a step at a placement.
    std::uint64_t holds() const noexcept
    {
        return holds_;
    }

private:
    friend class workspace_accounts;

    shared_workspace name_;
    resource_amount limit_;
    std::uint32_t weight_ = 0;
    resource_amount used_;
    std::uint32_t tasks_ = 0;
    resource_amount orphaned_;
    std::uint32_t orphaned_runs_ = 0;
    std::optional<step_id> reserved_for_;
    time_point reserved_until_{};
    std::uint64_t holds_ = 0;
    time_point next_log_{};
    /// Jobs that it may still send at once.
    double tokens_ = 0;
    /// Number of jobs that it sent recently, decayed.
    double recent_jobs_ = 0;
    time_point updated_at_{};
};

/// How many times longer than one task so many tasks of a step take, since the
/// workspace's limit allows only some of them at a time; at least 1.
/// @param account null if the job has no workspace
std::uint32_t waves(workspace_account const* account, job_step const& shape,
                    std::uint32_t tasks);

/// The accounts of all workspaces that the configuration or a job names. An
/// account is never removed, so that jobs can refer to it.
class workspace_accounts
{
public:
    /// @param directory null if the deployment has no workspaces
    void configure(workspace_directory const* directory);
    /// The workspace's account, which is added if it is new; null for null.
    workspace_account* ensure(shared_workspace const& name);

    /// Counts a job that a workspace sends.
    /// @param is_new false if the client has sent the job before
    /// @return whether the job is beyond the workspace's share: more jobs per
    /// second than its weight, or far more than its part of what all send
    bool is_beyond_share(workspace_account& account, bool is_new,
                         time_point now);

    std::map<workspace_name, workspace_account>& all() noexcept
    {
        return accounts_;
    }
    std::map<workspace_name, workspace_account> const& all() const noexcept
    {
        return accounts_;
    }

private:
    std::map<workspace_name, workspace_account> accounts_;
};

} // namespace cuminfold

#endif
