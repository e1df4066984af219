#include "kernel/cell/fleet_config_check.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

namespace cuminfold
{

namespace
{

/// Negative numbers are read as values above this one.
constexpr auto max_number =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());

using fault_list = std::vector<config_fault>;
using difference_list = std::vector<config_difference>;

config_place place_of(config_part part, std::size_t entry)
{
    return {part, entry, std::nullopt};
}

std::string quote(std::string const& name)
{
    return "'" + name + "'";
}

void check_numbers(fleet_config const& config, fault_list& faults)
{
    if (config.version_ == 0 || config.version_ > max_number)
    {
        faults.push_back({config_fault_kind::unusable_version,
                          {config_part::version, {}, {}},
                          config.version_ == 0
                              ? "missing or 0: no node takes this version"
                              : "negative: no later version can be higher",
                          "set a number higher than the one in force"});
    }
    if (config.body_limit_ == 0 || config.body_limit_ > max_number)
    {
        faults.push_back({config_fault_kind::unusable_body_limit,
                          {config_part::body_limit, {}, {}},
                          config.body_limit_ == 0
                              ? "0: every request with a body is rejected"
                              : "negative: bodies have no limit",
                          "set the largest body in bytes, or leave it out"});
    }
}

/// What prevents every request from matching the route; empty: nothing.
std::string unmatchable_part(queue_route const& route)
{
    if (route.host_.find(':') != std::string::npos)
    {
        return "its host has a port, and hosts are compared without one";
    }
    if (route.path_prefix_.front() != '/')
    {
        return "its path prefix does not start with '/'";
    }
    return "";
}

void check_pool_of(queue_route const& route, config_place const& place,
                   fleet_config const& config, fault_list& faults)
{
    auto const pool = config.pools_.find(route.pool_);
    if (pool == config.pools_.end())
    {
        faults.push_back({config_fault_kind::unknown_pool, place,
                          "route " + quote(route.name_) + " is for pool " +
                              quote(route.pool_.text()) +
                              ", which the configuration does not have",
                          "add the pool, or name another"});
    }
    else if (pool->second.standby_)
    {
        faults.push_back({config_fault_kind::standby_pool, place,
                          "route " + quote(route.name_) + " is for pool " +
                              quote(route.pool_.text()) +
                              ", which is on standby",
                          "end the pool's standby, or name another"});
    }
}

void check_routes(fleet_config_listing const& checked, fault_list& faults)
{
    std::map<std::string, std::size_t> names;
    std::map<std::pair<std::string, std::string>, std::string> matches;
    for (std::size_t i = 0; i < checked.config_.routes_.size(); ++i)
    {
        auto const& route = checked.config_.routes_[i];
        auto const place =
            place_of(config_part::routes, checked.route_entries_.at(i));
        if (!names.emplace(route.name_, i).second)
        {
            faults.push_back(
                {config_fault_kind::repeated_name, place,
                 "an earlier route has the same name " + quote(route.name_),
                 "rename or remove one of them"});
        }
        auto const reason = unmatchable_part(route);
        if (!reason.empty())
        {
            faults.push_back(
                {config_fault_kind::unmatchable_route, place,
                 "route " + quote(route.name_) + " never matches: " + reason,
                 "correct it"});
        }
        auto const match =
            matches.try_emplace({route.host_, route.path_prefix_}, route.name_);
        if (!match.second)
        {
            faults.push_back({config_fault_kind::shadowed_route, place,
                              "route " + quote(route.name_) +
                                  " never matches: route " +
                                  quote(match.first->second) +
                                  " comes first with the same host and prefix",
                              "change its host or prefix, or remove it"});
        }
        check_pool_of(route, place, checked.config_, faults);
    }
}

void check_pools(fleet_config_listing const& checked, fault_list& faults)
{
    std::map<pool_name, std::size_t> names;
    for (auto const& pool : checked.pools_)
    {
        if (!names.emplace(pool.name_, pool.entry_).second)
        {
            faults.push_back({config_fault_kind::repeated_name,
                              place_of(config_part::pools, pool.entry_),
                              "it replaces an earlier entry of pool " +
                                  quote(pool.name_.text()),
                              "remove one of them"});
        }
    }
}

void check_keys(fleet_config_listing const& checked, fault_list& faults)
{
    std::map<key_digest, listed_workspace const*> owners;
    for (auto const& workspace : checked.workspaces_)
    {
        auto const name = quote(workspace.name_.text());
        if (workspace.keys_.empty())
        {
            faults.push_back(
                {config_fault_kind::workspace_without_keys,
                 place_of(config_part::workspaces, workspace.entry_),
                 "workspace " + name + " has no keys: no call can use it",
                 "add a key, or remove the workspace"});
        }
        for (std::size_t i = 0; i < workspace.keys_.size(); ++i)
        {
            auto const owner =
                owners.try_emplace(workspace.keys_[i], &workspace);
            if (owner.second)
            {
                continue;
            }
            auto const& first = *owner.first->second;
            bool const same = &first == &workspace;
            faults.push_back(
                {config_fault_kind::repeated_key,
                 {config_part::workspaces, workspace.entry_, i},
                 same ? "workspace " + name + " has this key twice"
                      : "workspace " + quote(first.name_.text()) +
                            " has the same key; it does not identify " + name,
                 same ? "remove one of them"
                      : "give each workspace keys of its own"});
        }
    }
}

void check_limit(char const* name, std::int64_t limit, std::int64_t need,
                 config_place const& place, fault_list& faults)
{
    if (limit != 0 && limit < need)
    {
        faults.push_back({config_fault_kind::limit_below_task, place,
                          std::string("the limit on ") + name + " of " +
                              std::to_string(limit) +
                              " is below the largest task's need of " +
                              std::to_string(need),
                          "raise the limit; 0 is none"});
    }
}

void check_limits(fleet_config_listing const& checked,
                  std::optional<resource_amount> const& largest_task,
                  fault_list& faults)
{
    if (checked.workspaces_.empty())
    {
        return;
    }
    auto const& policies = checked.config_.workspaces_->workspaces_;
    bool const is_weighted =
        std::any_of(policies.begin(), policies.end(),
                    [](auto const& row) { return row.second.weight_ > 0; });
    for (auto const& workspace : checked.workspaces_)
    {
        auto const& policy = policies.at(workspace.name_);
        auto const place = place_of(config_part::workspaces, workspace.entry_);
        if (is_weighted && policy.weight_ == 0)
        {
            faults.push_back({config_fault_kind::weight_missing, place,
                              "workspace " + quote(policy.name_.text()) +
                                  " has weight 0, and others have more: it has "
                                  "no share when capacity is short",
                              "give it a weight"});
        }
        if (largest_task)
        {
            check_limit("CPU", policy.limit_.cpu_milli_,
                        largest_task->cpu_milli_, place, faults);
            check_limit("memory", policy.limit_.memory_mb_,
                        largest_task->memory_mb_, place, faults);
            check_limit("accelerators", policy.limit_.accelerators_,
                        largest_task->accelerators_, place, faults);
        }
    }
}

std::string text_of(std::string const& value)
{
    return value;
}

std::string text_of(bool value)
{
    return value ? "true" : "false";
}

std::string text_of(std::uint32_t value)
{
    return std::to_string(value);
}

std::string text_of(std::int64_t value)
{
    return std::to_string(value);
}

std::string text_of(double value)
{
    // Enough digits that values which differ print differently.
    std::ostringstream out;
    out.precision(std::numeric_limits<double>::max_digits10);
    out << value;
    return out.str();
}

std::string text_of(duration value)
{
    return in_milliseconds(value);
}

/// Collects the settings that differ between two entries.
class field_comparison
{
public:
    template <class Value>
    void add(config_field field, Value const& before, Value const& after)
    {
        add_texts(field, text_of(before), text_of(after));
    }

    void add_texts(config_field field, std::string before, std::string after)
    {
        if (before != after)
        {
            changes_.push_back({field, std::move(before), std::move(after)});
        }
    }

    std::vector<field_change> take()
    {
        return std::move(changes_);
    }

private:
    std::vector<field_change> changes_;
};

std::string advice_time(queue_route const& route, duration advice_policy::*time)
{
    return route.advice_ ? text_of((*route.advice_).*time) : std::string();
}

std::vector<field_change> compare(queue_route const& before,
                                  queue_route const& after)
{
    field_comparison fields;
    fields.add(config_field::host, before.host_, after.host_);
    fields.add(config_field::path_prefix, before.path_prefix_,
               after.path_prefix_);
    fields.add(config_field::pool, before.pool_.text(), after.pool_.text());
    fields.add(config_field::priority, before.priority_, after.priority_);
    fields.add(config_field::max_attempts, before.max_attempts_,
               after.max_attempts_);
    fields.add(config_field::stretch, before.stretch_, after.stretch_);
    fields.add(config_field::objective, before.objective_, after.objective_);
    fields.add(config_field::is_public, before.is_public_, after.is_public_);
    std::pair<config_field, duration advice_policy::*> const times[] = {
        {config_field::decision_time, &advice_policy::decision_time_},
        {config_field::time_per_worker, &advice_policy::time_per_worker_},
        {config_field::validity, &advice_policy::validity_}};
    for (auto const& time : times)
    {
        fields.add_texts(time.first, advice_time(before, time.second),
                         advice_time(after, time.second));
    }
    return fields.take();
}

std::vector<field_change> compare(pool_options const& before,
                                  pool_options const& after)
{
    field_comparison fields;
    fields.add(config_field::standby, before.standby_, after.standby_);
    fields.add(config_field::enforces_capacity, before.enforces_capacity_,
               after.enforces_capacity_);
    return fields.take();
}

std::vector<field_change> compare(workspace_policy const& before,
                                  workspace_policy const& after)
{
    field_comparison fields;
    fields.add(config_field::weight, before.weight_, after.weight_);
    fields.add(config_field::cpu_limit, before.limit_.cpu_milli_,
               after.limit_.cpu_milli_);
    fields.add(config_field::memory_limit, before.limit_.memory_mb_,
               after.limit_.memory_mb_);
    fields.add(config_field::accelerator_limit, before.limit_.accelerators_,
               after.limit_.accelerators_);
    return fields.take();
}

/// An entry and its position.
template <class Value>
struct placed
{
    Value value_;
    std::size_t entry_ = 0;
};

template <class Value>
using placed_by_name = std::map<std::string, placed<Value>>;

template <class Value>
void compare_all(config_part part, placed_by_name<Value> const& before,
                 placed_by_name<Value> const& after,
                 difference_list& differences)
{
    for (auto const& row : after)
    {
        auto const place = place_of(part, row.second.entry_);
        auto const old = before.find(row.first);
        if (old == before.end())
        {
            differences.push_back({change_kind::added, place, row.first, {}});
            continue;
        }
        auto fields = compare(old->second.value_, row.second.value_);
        if (!fields.empty())
        {
            differences.push_back(
                {change_kind::changed, place, row.first, std::move(fields)});
        }
    }
    for (auto const& row : before)
    {
        if (after.count(row.first) == 0)
        {
            differences.push_back({change_kind::removed,
                                   place_of(part, row.second.entry_),
                                   row.first,
                                   {}});
        }
    }
}

placed_by_name<queue_route> routes_of(fleet_config_listing const& listing)
{
    placed_by_name<queue_route> routes;
    for (std::size_t i = 0; i < listing.config_.routes_.size(); ++i)
    {
        auto const& route = listing.config_.routes_[i];
        routes.emplace(route.name_, placed<queue_route>{
                                        route, listing.route_entries_.at(i)});
    }
    return routes;
}

placed_by_name<pool_options> pools_of(fleet_config_listing const& listing)
{
    placed_by_name<pool_options> pools;
    for (auto const& pool : listing.pools_)
    {
        pools[pool.name_.text()] = {listing.config_.pools_.at(pool.name_),
                                    pool.entry_};
    }
    return pools;
}

placed_by_name<workspace_policy>
workspaces_of(fleet_config_listing const& listing)
{
    placed_by_name<workspace_policy> workspaces;
    for (auto const& workspace : listing.workspaces_)
    {
        workspaces[workspace.name_.text()] = {
            listing.config_.workspaces_->workspaces_.at(workspace.name_),
            workspace.entry_};
    }
    return workspaces;
}

/// Lists the keys of `listing` that identify a workspace there and do not
/// identify the same one in `other`.
void list_keys_without(fleet_config_listing const& listing,
                       fleet_config_listing const& other, change_kind kind,
                       difference_list& differences)
{
    auto const identifies = [](fleet_config_listing const& in,
                               key_digest const& key,
                               workspace_name const& name)
    {
        if (in.config_.workspaces_ == nullptr)
        {
            return false;
        }
        auto const& keys = in.config_.workspaces_->keys_;
        auto const found = keys.find(key);
        return found != keys.end() && found->second == name;
    };
    for (auto const& workspace : listing.workspaces_)
    {
        auto const& keys = workspace.keys_;
        for (std::size_t i = 0; i < keys.size(); ++i)
        {
            auto const here = keys.begin() + static_cast<std::ptrdiff_t>(i);
            bool const is_repeated =
                std::find(keys.begin(), here, keys[i]) != here;
            if (!is_repeated && identifies(listing, keys[i], workspace.name_) &&
                !identifies(other, keys[i], workspace.name_))
            {
                differences.push_back(
                    {kind,
                     {config_part::workspaces, workspace.entry_, i},
                     workspace.name_.text(),
                     {}});
            }
        }
    }
}

} // namespace

std::vector<config_fault>
find_config_faults(fleet_config_listing const& checked,
                   std::optional<resource_amount> const& largest_task)
{
    fault_list faults;
    for (auto const& entry : checked.skipped_)
    {
        faults.push_back({config_fault_kind::skipped_entry, entry.place_,
                          "left out: " + entry.fault_, entry.remedy_});
    }
    check_numbers(checked.config_, faults);
    check_routes(checked, faults);
    check_pools(checked, faults);
    check_keys(checked, faults);
    check_limits(checked, largest_task, faults);
    return faults;
}

std::optional<config_fault> find_version_fault(fleet_config const& checked,
                                               fleet_config const& in_force)
{
    if (checked.version_ > in_force.version_)
    {
        return std::nullopt;
    }
    return config_fault{config_fault_kind::version_not_higher,
                        {config_part::version, {}, {}},
                        std::to_string(checked.version_) +
                            " is not higher than the version in force, " +
                            std::to_string(in_force.version_) +
                            ": nodes ignore it",
                        "set a higher version"};
}

std::vector<config_difference>
find_config_differences(fleet_config_listing const& checked,
                        fleet_config_listing const& in_force)
{
    difference_list differences;
    compare_all(config_part::routes, routes_of(in_force), routes_of(checked),
                differences);
    compare_all(config_part::pools, pools_of(in_force), pools_of(checked),
                differences);
    bool const had_workspaces = in_force.config_.workspaces_ != nullptr;
    bool const has_workspaces = checked.config_.workspaces_ != nullptr;
    if (had_workspaces != has_workspaces)
    {
        differences.push_back(
            {has_workspaces ? change_kind::added : change_kind::removed,
             {config_part::workspaces, {}, {}},
             "",
             {}});
    }
    compare_all(config_part::workspaces, workspaces_of(in_force),
                workspaces_of(checked), differences);
    list_keys_without(checked, in_force, change_kind::added, differences);
    list_keys_without(in_force, checked, change_kind::removed, differences);
    field_comparison limits;
    limits.add(config_field::body_limit,
               static_cast<std::int64_t>(in_force.config_.body_limit_),
               static_cast<std::int64_t>(checked.config_.body_limit_));
    auto fields = limits.take();
    if (!fields.empty())
    {
        differences.push_back({change_kind::changed,
                               {config_part::body_limit, {}, {}},
                               "",
                               std::move(fields)});
    }
    return differences;
}

} // namespace cuminfold
