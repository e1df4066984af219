#include "kernel/cell/fleet_config_check.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

using std::chrono::milliseconds;
using edit = std::function<void(fleet_config_listing&)>;

queue_route make_route(std::string const& name)
{
    queue_route route;
    route.name_ = name;
    route.host_ = name + ".example";
    route.path_prefix_ = "/";
    route.pool_ = pool_name{"calls"};
    return route;
}

void add_route(fleet_config_listing& listing, queue_route const& route,
               std::size_t entry)
{
    listing.config_.routes_.push_back(route);
    listing.route_entries_.push_back(entry);
}

void add_workspace(fleet_config_listing& listing, std::string const& name,
                   std::size_t entry, std::vector<key_digest> const& keys,
                   std::uint32_t weight = 1, resource_amount const& limit = {})
{
    auto directory = listing.config_.workspaces_
                         ? std::make_shared<workspace_directory>(
                               *listing.config_.workspaces_)
                         : std::make_shared<workspace_directory>();
    workspace_name const id{name};
    directory->workspaces_[id] = {id, limit, weight};
    for (auto const& key : keys)
    {
        directory->keys_.emplace(key, id);
    }
    listing.config_.workspaces_ = directory;
    listing.workspaces_.push_back({id, entry, keys});
}

void set_policy(fleet_config_listing& listing, std::string const& name,
                std::uint32_t weight, resource_amount const& limit)
{
    auto directory =
        std::make_shared<workspace_directory>(*listing.config_.workspaces_);
    auto& policy = directory->workspaces_.at(workspace_name{name});
    policy.weight_ = weight;
    policy.limit_ = limit;
    listing.config_.workspaces_ = directory;
}

key_digest const key_a{"aa"};
key_digest const key_b{"bb"};
key_digest const key_c{"cc"};

/// A configuration without faults.
fleet_config_listing make_listing()
{
    fleet_config_listing listing;
    listing.config_.version_ = 3;
    listing.config_.pools_[pool_name{"calls"}] = {};
    listing.pools_.push_back({pool_name{"calls"}, 0});
    add_route(listing, make_route("quotes"), 0);
    add_workspace(listing, "retail", 0, {key_a, key_b});
    return listing;
}

config_place at(config_part part)
{
    return {part, std::nullopt, std::nullopt};
}

config_place at(config_part part, std::size_t entry)
{
    return {part, entry, std::nullopt};
}

bool is_same(config_place const& a, config_place const& b)
{
    return a.part_ == b.part_ && a.entry_ == b.entry_ && a.key_ == b.key_;
}

struct fault_row
{
    char const* name_;
    edit edit_;
    config_fault_kind kind_;
    config_place place_;
};

/// Each edit makes exactly one fault, with a largest task of 1000 thousandths
/// of a core, 512 MB and one accelerator.
std::vector<fault_row> const fault_rows = {
    {"an entry that the reader leaves out",
     [](auto& in)
     {
         in.skipped_.push_back(
             {at(config_part::routes, 4), "field 'x' is missing", "set it"});
     },
     config_fault_kind::skipped_entry, at(config_part::routes, 4)},
    {"no version", [](auto& in) { in.config_.version_ = 0; },
     config_fault_kind::unusable_version, at(config_part::version)},
    {"a negative version",
     [](auto& in) { in.config_.version_ = static_cast<std::uint64_t>(-1); },
     config_fault_kind::unusable_version, at(config_part::version)},
    {"no body allowed", [](auto& in) { in.config_.body_limit_ = 0; },
     config_fault_kind::unusable_body_limit, at(config_part::body_limit)},
    {"a negative body limit",
     [](auto& in) { in.config_.body_limit_ = static_cast<std::size_t>(-1); },
     config_fault_kind::unusable_body_limit, at(config_part::body_limit)},
    {"equal host and prefix",
     [](auto& in)
     {
         auto route = make_route("quotes");
         route.name_ = "late";
         add_route(in, route, 2);
     },
     config_fault_kind::shadowed_route, at(config_part::routes, 2)},
    {"equal names of routes",
     [](auto& in)
     {
         auto route = make_route("quotes");
         route.host_ = "other.example";
         add_route(in, route, 2);
     },
     config_fault_kind::repeated_name, at(config_part::routes, 2)},
    {"a host with a port",
     [](auto& in) { in.config_.routes_[0].host_ = "quotes.example:80"; },
     config_fault_kind::unmatchable_route, at(config_part::routes, 0)},
    {"a prefix that no path has",
     [](auto& in) { in.config_.routes_[0].path_prefix_ = "v1/"; },
     config_fault_kind::unmatchable_route, at(config_part::routes, 0)},
    {"a pool that is not there",
     [](auto& in) { in.config_.routes_[0].pool_ = pool_name{"cals"}; },
     config_fault_kind::unknown_pool, at(config_part::routes, 0)},
    {"a pool on standby",
     [](auto& in) { in.config_.pools_[pool_name{"calls"}].standby_ = true; },
     config_fault_kind::standby_pool, at(config_part::routes, 0)},
    {"equal names of pools",
     [](auto& in) {
         in.pools_.push_back({pool_name{"calls"}, 5});
     },
     config_fault_kind::repeated_name, at(config_part::pools, 5)},
    {"a workspace without keys",
     [](auto& in) { add_workspace(in, "idle", 3, {}); },
     config_fault_kind::workspace_without_keys, at(config_part::workspaces, 3)},
    {"equal keys of two workspaces",
     [](auto& in) {
         add_workspace(in, "other", 1, {key_c, key_b});
     },
     config_fault_kind::repeated_key,
     {config_part::workspaces, 1, 1}},
    {"a key twice in one workspace",
     [](auto& in) {
         add_workspace(in, "other", 1, {key_c, key_c});
     },
     config_fault_kind::repeated_key,
     {config_part::workspaces, 1, 1}},
    {"a limit on CPU below the largest task",
     [](auto& in) {
         set_policy(in, "retail", 1, {999, 512, 1});
     },
     config_fault_kind::limit_below_task, at(config_part::workspaces, 0)},
    {"a limit on memory below the largest task",
     [](auto& in) {
         set_policy(in, "retail", 1, {1000, 511, 1});
     },
     config_fault_kind::limit_below_task, at(config_part::workspaces, 0)},
    {"a weight of 0 beside others",
     [](auto& in) { add_workspace(in, "other", 1, {key_c}, 0); },
     config_fault_kind::weight_missing, at(config_part::workspaces, 1)},
};

struct fine_row
{
    char const* name_;
    edit edit_;
};

std::vector<fine_row> const fine_rows = {
    {"nothing odd", [](auto&) {}},
    {"no workspaces",
     [](auto& in)
     {
         in.config_.workspaces_ = nullptr;
         in.workspaces_.clear();
     }},
    {"an empty list of workspaces",
     [](auto& in)
     {
         in.config_.workspaces_ = std::make_shared<workspace_directory>();
         in.workspaces_.clear();
     }},
    {"a longer prefix of the same host",
     [](auto& in)
     {
         auto route = make_route("quotes");
         route.name_ = "inner";
         route.path_prefix_ = "/inner";
         add_route(in, route, 1);
     }},
    {"limits of just the largest task",
     [](auto& in) {
         set_policy(in, "retail", 1, {1000, 512, 1});
     }},
    {"all weights are 0",
     [](auto& in)
     {
         set_policy(in, "retail", 0, {});
         add_workspace(in, "other", 1, {key_c}, 0);
     }},
};

resource_amount const largest_task{1000, 512, 1};

struct expected_difference
{
    change_kind kind_;
    config_place place_;
    std::string name_;
    std::vector<std::string> fields_; ///< FIELD-NUMBER BEFORE AFTER
};

struct difference_row
{
    char const* name_;
    edit edit_;
    std::vector<expected_difference> expected_;
};

std::string line_of(field_change const& change)
{
    return std::to_string(static_cast<int>(change.field_)) + " " +
           change.before_ + " " + change.after_;
}

std::string line_of(config_field field, std::string const& rest)
{
    return std::to_string(static_cast<int>(field)) + " " + rest;
}

std::vector<difference_row> const difference_rows = {
    {"nothing", [](auto&) {}, {}},
    {"a route more",
     [](auto& in) { add_route(in, make_route("late"), 2); },
     {{change_kind::added, at(config_part::routes, 2), "late", {}}}},
    {"another route",
     [](auto& in) { in.config_.routes_[0] = make_route("late"); },
     {{change_kind::added, at(config_part::routes, 0), "late", {}},
      {change_kind::removed, at(config_part::routes, 0), "quotes", {}}}},
    {"all of a route's settings",
     [](auto& in)
     {
         auto& route = in.config_.routes_[0];
         route.host_ = "h";
         route.path_prefix_ = "/p";
         route.pool_ = pool_name{"tally"};
         route.priority_ = 2;
         route.max_attempts_ = 3;
         route.stretch_ = 1.5;
         route.objective_ = milliseconds{70};
         route.is_public_ = true;
         route.advice_ =
             advice_policy{milliseconds{1}, milliseconds{2}, milliseconds{3}};
     },
     {{change_kind::changed,
       at(config_part::routes, 0),
       "quotes",
       {line_of(config_field::host, "quotes.example h"),
        line_of(config_field::path_prefix, "/ /p"),
        line_of(config_field::pool, "calls tally"),
        line_of(config_field::priority, "0 2"),
        line_of(config_field::max_attempts, "1 3"),
        line_of(config_field::stretch, "1 1.5"),
        line_of(config_field::objective, "0 70"),
        line_of(config_field::is_public, "false true"),
        line_of(config_field::decision_time, " 1"),
        line_of(config_field::time_per_worker, " 2"),
        line_of(config_field::validity, " 3")}}}},
    {"a pool's settings",
     [](auto& in) {
         in.config_.pools_[pool_name{"calls"}] = {true, true};
     },
     {{change_kind::changed,
       at(config_part::pools, 0),
       "calls",
       {line_of(config_field::standby, "false true"),
        line_of(config_field::enforces_capacity, "false true")}}}},
    {"a pool less",
     [](auto& in)
     {
         in.config_.pools_.clear();
         in.pools_.clear();
     },
     {{change_kind::removed, at(config_part::pools, 0), "calls", {}}}},
    {"a workspace's settings",
     [](auto& in) {
         set_policy(in, "retail", 7, {1, 2, 3});
     },
     {{change_kind::changed,
       at(config_part::workspaces, 0),
       "retail",
       {line_of(config_field::weight, "1 7"),
        line_of(config_field::cpu_limit, "0 1"),
        line_of(config_field::memory_limit, "0 2"),
        line_of(config_field::accelerator_limit, "0 3")}}}},
    {"a workspace more, with a key",
     [](auto& in) { add_workspace(in, "other", 1, {key_c}); },
     {{change_kind::added, at(config_part::workspaces, 1), "other", {}},
      {change_kind::added, {config_part::workspaces, 1, 0}, "other", {}}}},
    {"keys replaced",
     [](auto& in)
     {
         in.config_.workspaces_ = nullptr;
         in.workspaces_.clear();
         add_workspace(in, "retail", 0, {key_c, key_b});
     },
     {{change_kind::added, {config_part::workspaces, 0, 0}, "retail", {}},
      {change_kind::removed, {config_part::workspaces, 0, 0}, "retail", {}}}},
    {"keys in another order",
     [](auto& in)
     {
         in.config_.workspaces_ = nullptr;
         in.workspaces_.clear();
         add_workspace(in, "retail", 0, {key_b, key_a});
     },
     {}},
    {"a key that is given twice",
     [](auto& in) {
         add_workspace(in, "other", 1, {key_c, key_c});
     },
     {{change_kind::added, at(config_part::workspaces, 1), "other", {}},
      {change_kind::added, {config_part::workspaces, 1, 0}, "other", {}}}},
    {"a key that does not identify its workspace",
     [](auto& in) { add_workspace(in, "other", 1, {key_a}); },
     {{change_kind::added, at(config_part::workspaces, 1), "other", {}}}},
    {"no workspaces any more",
     [](auto& in)
     {
         in.config_.workspaces_ = nullptr;
         in.workspaces_.clear();
     },
     {{change_kind::removed, at(config_part::workspaces), "", {}},
      {change_kind::removed, at(config_part::workspaces, 0), "retail", {}},
      {change_kind::removed, {config_part::workspaces, 0, 0}, "retail", {}},
      {change_kind::removed, {config_part::workspaces, 0, 1}, "retail", {}}}},
    {"the body limit",
     [](auto& in) { in.config_.body_limit_ = 9; },
     {{change_kind::changed,
       at(config_part::body_limit),
       "",
       {line_of(config_field::body_limit, "262144 9")}}}},
};

struct version_row
{
    std::uint64_t checked_;
    std::uint64_t in_force_;
    bool is_fault_;
};

} // namespace

// Guards against a fault that is not reported, reported at another place, or
// reported as others beside.
TEST_CASE("each fault of a configuration is found at its place")
{
    for (auto const& row : fault_rows)
    {
        CAPTURE(row.name_);
        auto listing = make_listing();
        row.edit_(listing);
        auto const faults = find_config_faults(listing, largest_task);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].kind_ == row.kind_);
        CHECK(is_same(faults[0].place_, row.place_));
        CHECK(!faults[0].what_.empty());
        CHECK(!faults[0].remedy_.empty());
    }
}

// Guards against false alarms.
TEST_CASE("a configuration without contradictions has no faults")
{
    for (auto const& row : fine_rows)
    {
        CAPTURE(row.name_);
        auto listing = make_listing();
        row.edit_(listing);
        CHECK(find_config_faults(listing, largest_task).empty());
    }
}

TEST_CASE("limits are compared with a task that is given alone")
{
    auto listing = make_listing();
    set_policy(listing, "retail", 1, {1, 1, 1});
    CHECK(find_config_faults(listing, std::nullopt).empty());
}

// Guards against a text for operators that holds a digest of a key.
TEST_CASE("no text holds a key's digest")
{
    key_digest const secret{"5ec7e7"};
    auto listing = make_listing();
    add_workspace(listing, "first", 1, {secret, secret});
    add_workspace(listing, "second", 2, {secret});
    auto const faults = find_config_faults(listing, largest_task);
    CHECK(faults.size() == 2);
    for (auto const& fault : faults)
    {
        CHECK(fault.what_.find(secret.text()) == std::string::npos);
        CHECK(fault.remedy_.find(secret.text()) == std::string::npos);
    }
    for (auto const& change : find_config_differences(listing, make_listing()))
    {
        CHECK(change.name_.find(secret.text()) == std::string::npos);
        CHECK(change.fields_.empty());
    }
}

// Guards against a change of keys or limits that operators do not see.
TEST_CASE("each difference from the version in force is listed")
{
    for (auto const& row : difference_rows)
    {
        CAPTURE(row.name_);
        auto listing = make_listing();
        row.edit_(listing);
        auto const found = find_config_differences(listing, make_listing());
        REQUIRE(found.size() == row.expected_.size());
        for (std::size_t i = 0; i < found.size(); ++i)
        {
            auto const& expected = row.expected_[i];
            CAPTURE(i);
            CHECK(found[i].kind_ == expected.kind_);
            CHECK(is_same(found[i].place_, expected.place_));
            CHECK(found[i].name_ == expected.name_);
            std::vector<std::string> fields;
            for (auto const& field : found[i].fields_)
            {
                fields.push_back(line_of(field));
            }
            CHECK(fields == expected.fields_);
        }
    }
}

TEST_CASE("a version that nodes would ignore is a fault")
{
    version_row const rows[] = {
        {4, 3, false}, {3, 3, true}, {2, 3, true}, {0, 0, true}, {1, 0, false}};
    for (auto const& row : rows)
    {
        CAPTURE(row.checked_);
        CAPTURE(row.in_force_);
        fleet_config checked;
        checked.version_ = row.checked_;
        fleet_config in_force;
        in_force.version_ = row.in_force_;
        auto const fault = find_version_fault(checked, in_force);
        CHECK(fault.has_value() == row.is_fault_);
        CHECK(
            (!fault || fault->kind_ == config_fault_kind::version_not_higher));
    }
}
