#ifndef CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_CHECK_HPP
#define CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_CHECK_HPP

#include "kernel/cell/fleet_config_listing.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// Kinds of faults that a check of the operators' configuration finds.
enum class config_fault_kind : std::uint8_t
{
    skipped_entry,
    unusable_version,
    unusable_body_limit,
    repeated_name,     ///< of a route or pool
    unmatchable_route, ///< a host or prefix that no request has
    shadowed_route,
    unknown_pool,
    standby_pool,
    workspace_without_keys,
    repeated_key,
    limit_below_task,
    weight_missing, ///< 0, while other workspaces have one
    version_not_higher,
};

/// One fault, with its remedy. No text holds a key or a digest.
struct config_fault
{
    config_fault_kind kind_;
    config_place place_;
    std::string what_;
    std::string remedy_;
};

/// A setting whose values are compared between versions.
enum class config_field : std::uint8_t
{
    host,
    path_prefix,
    pool,
    priority,
    max_attempts,
    stretch,
    objective,
    is_public,
    decision_time,
    time_per_worker,
    validity,
    standby,
    enforces_capacity,
    weight,
    cpu_limit,
    memory_limit,
    accelerator_limit,
    body_limit,
};

inline constexpr std::size_t config_field_count = 18;

/// A setting with its old and new value; empty: absent. Times are in
/// milliseconds.
struct field_change
{
    config_field field_;
    std::string before_;
    std::string after_;
};

enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

/// A difference from the version in force.
struct config_difference
{
    change_kind kind_;
    /// In the configuration in force if something was removed, otherwise in
    /// the checked one. A workspace without position stands for the list: calls
    /// begin or cease to need a key.
    config_place place_;
    /// Name of the route, pool or workspace; for a key, of its workspace.
    std::string name_;
    /// Not empty if the kind is `changed`.
    std::vector<field_change> fields_;
};

/// Finds entries that are left out, routes that can never match, and limits
/// that contradict each other.
/// @param largest_task what the largest task of any workspace needs; absent:
/// limits are not compared with it
std::vector<config_fault>
find_config_faults(fleet_config_listing const& checked,
                   std::optional<resource_amount> const& largest_task);

/// A version that nodes would ignore because it is not higher than the one in
/// force.
/// @return absent if it is higher
std::optional<config_fault> find_version_fault(fleet_config const& checked,
                                               fleet_config const& in_force);

/// Lists what a configuration adds, removes and changes. The order of entries
/// and of keys does not count.
std::vector<config_difference>
find_config_differences(fleet_config_listing const& checked,
                        fleet_config_listing const& in_force);

} // namespace cuminfold

#endif
