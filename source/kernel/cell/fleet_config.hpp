#ifndef CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_HPP
#define CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// A policy that lets only some workers run a step; a service knows which, and
/// gives each a ticket.
struct advice_policy
{
    /// What the service takes for a question, and more for each worker in it.
    duration decision_time_{0};
    duration time_per_worker_{0};
    /// How long a ticket is accepted.
    duration validity_{0};

    duration answer_time(std::size_t workers) const noexcept
    {
        return decision_time_ +
               time_per_worker_ * static_cast<std::int64_t>(workers);
    }
};

/// A queue of jobs: how requests find it and what it promises.
struct queue_route
{
    std::string name_;
    std::string host_;
    std::string path_prefix_;
    pool_name pool_;
    std::uint32_t priority_ = 0; ///< 0 goes first
    std::uint32_t max_attempts_ = 1;
    /// The objective is this many times the job's longest chain of work...
    double stretch_ = 1;
    /// ...and this much more.
    duration objective_{0};
    std::optional<advice_policy> advice_;
};

/// What the operators configured for a pool.
struct pool_options
{
    /// VMs of the pool are off and cost nothing.
    bool standby_ = false;
    /// Its workers refuse what does not fit.
    bool enforces_capacity_ = false;
};

/// One version of the operators' configuration.
struct fleet_config
{
    std::uint64_t version_ = 0; ///< 0: none was read yet
    std::vector<queue_route> routes_;
    std::map<pool_name, pool_options> pools_;
    std::size_t body_limit_ = 262'144; ///< bytes

    /// The route with that host whose prefix is the longest that the path
    /// begins with; null if there is none.
    queue_route const* find(std::string const& host,
                            std::string const& path) const;
    /// The route of that name; null if there is none.
    queue_route const* find_by_name(std::string const& name) const;
};

} // namespace cuminfold

#endif
