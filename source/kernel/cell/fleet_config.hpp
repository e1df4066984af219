#ifndef CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_HPP
#define CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_HPP

#include "kernel/cell/workspace.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// Timing of a queue's policy service, which decides which workers may run a
/// step and issues each of them a ticket.
struct advice_policy
{
    /// The service's processing time for a query, plus the time for each
    /// worker that the query names.
    duration decision_time_{0};
    duration time_per_worker_{0};
    /// Workers accept a ticket for this long.
    duration validity_{0};

    /// The service's processing time for a query that names `workers` workers.
    duration answer_time(std::size_t workers) const noexcept
    {
        return decision_time_ +
               time_per_worker_ * static_cast<std::int64_t>(workers);
    }
};

/// A job queue: the requests that are routed to it, and its service level
/// objective.
struct queue_route
{
    std::string name_;
    std::string host_;
    std::string path_prefix_;
    pool_name pool_;
    std::uint32_t priority_ = 0; ///< 0 is the highest
    std::uint32_t max_attempts_ = 1;
    /// A job is on time if it ends within `stretch_` times the run time of its
    /// longest chain of steps, plus `objective_`.
    double stretch_ = 1;
    duration objective_{0};
    /// Empty if any worker may run the queue's jobs.
    std::optional<advice_policy> advice_;
    /// Calls need no key, also in a deployment with workspaces.
    bool is_public_ = false;
};

/// The operators' settings of a pool.
struct pool_options
{
    /// VMs of the pool are off and cost nothing.
    bool standby_ = false;
    /// Workers of the pool refuse tasks that exceed their free resources.
    bool enforces_capacity_ = false;
};

/// One version of the operators' configuration.
struct fleet_config
{
    std::uint64_t version_ = 0; ///< 0: none was read yet
    std::vector<queue_route> routes_;
    std::map<pool_name, pool_options> pools_;
    std::size_t body_limit_ = 262'144; ///< bytes
    /// Null in a deployment without workspaces, where no call needs a key.
    std::shared_ptr<workspace_directory const> workspaces_;

    /// Finds the route of that host with the longest path prefix that matches.
    /// @return null if no route matches
    queue_route const* find(std::string const& host,
                            std::string const& path) const;
    /// @return null if no route has that name
    queue_route const* find_by_name(std::string const& name) const;
};

} // namespace cuminfold

#endif
