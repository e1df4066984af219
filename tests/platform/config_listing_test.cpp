#include "platform/body_codec.hpp"
#include "platform/config_format.hpp"
#include "platform/key_digest.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;
using namespace cuminfold::platform;

namespace
{

nlohmann::json const good_route = {
    {"name", "q"}, {"host", "h"}, {"path_prefix", "/"}, {"service", "s"}};

nlohmann::json with(nlohmann::json value, char const* field,
                    nlohmann::json const& entry)
{
    value[field] = entry;
    return value;
}

struct skipped_row
{
    char const* list_;
    nlohmann::json entry_;
    char const* fault_;
    char const* remedy_part_;
};

std::vector<skipped_row> const skipped_rows = {
    {"routes", 7, "value is not a map", "remove the entry"},
    {"routes", with(good_route, "host", nullptr), "field 'host' is missing",
     "set 'host'"},
    {"routes", with(good_route, "priority", -1),
     "field 'priority' is out of range", "set 'priority'"},
    {"routes", with(good_route, "public", "yes"),
     "field 'public' is not a boolean", "true or false"},
    {"routes", with(good_route, "recommendation", {{"validity_ms", "soon"}}),
     "field 'validity_ms' is not a number, or out of range", "milliseconds"},
    {"services",
     {{"name", "s"}, {"standby", 1}},
     "field 'standby' is not a boolean",
     "true or false"},
    {"tenants",
     {{"name", "t"}, {"api_keys", {"k", "secret key"}}},
     "field 'api_keys[1]' is no possible key",
     "visible ASCII"},
    {"tenants",
     {{"name", "t"}, {"max_count", {{"cpu", -1}}}},
     "field 'cpu' is out of range",
     "thousandths of a core"},
};

struct line_row
{
    config_place place_;
    std::uint32_t line_;
};

struct text_row
{
    std::string text_;
    std::uint32_t line_;
    char const* place_;
};

} // namespace

// Guards against a report that differs from what the node does.
TEST_CASE("an entry that the node leaves out is listed with place and remedy")
{
    for (auto const& row : skipped_rows)
    {
        CAPTURE(row.entry_.dump());
        nlohmann::json const body = {
            {"version", 3},
            {row.list_, {with(good_route, "name", "first"), row.entry_}}};
        auto const listing = list_config(body.dump());
        std::size_t skipped = 0;
        auto const config = read_config(write_body(body), skipped);
        CHECK(skipped == 1);
        CHECK(listing.config_.routes_.size() == config.routes_.size());
        CHECK(listing.config_.pools_.size() == config.pools_.size());
        REQUIRE(listing.skipped_.size() == 1);
        auto const& entry = listing.skipped_[0];
        CHECK(place_name(entry.place_) == row.list_ + std::string("[1]"));
        CHECK(entry.fault_ == row.fault_);
        CHECK(entry.remedy_.find(row.remedy_part_) != std::string::npos);
    }
}

TEST_CASE("entries are listed with their positions in the text")
{
    nlohmann::json const body = {
        {"version", 3},
        {"routes", {7, good_route}},
        {"services", {7, {{"name", "s"}}}},
        {"tenants", {7, {{"name", "t"}, {"api_keys", {"k", "l"}}}}}};
    auto const listing = list_config(body.dump());
    CHECK(listing.config_.version_ == 3);
    CHECK(listing.route_entries_ == std::vector<std::size_t>{1});
    REQUIRE(listing.pools_.size() == 1);
    CHECK(listing.pools_[0].entry_ == 1);
    REQUIRE(listing.workspaces_.size() == 1);
    CHECK(listing.workspaces_[0].entry_ == 1);
    CHECK(listing.workspaces_[0].keys_ ==
          std::vector<key_digest>{digest_of("k"), digest_of("l")});
    CHECK(place_name({config_part::workspaces, 1, 0}) ==
          "tenants[1].api_keys[0]");
}

// Guards against lines that are off by one, or counted from other lists.
TEST_CASE("entries are listed with their lines")
{
    std::string const text = R"({"other": [{"routes": [
  1, 2]}],
"routes": [
  7,
  {
    "name": "q"}, [
  ], "r"],
"services": {"s": {}},
"tenants": [{}],
"tenants": [
  {"name": "t",
   "api_keys": ["k",
     "l"]}, {}],
"limits": {"max_body_bytes": 7}, "version": 3,
"further": [{}, {}, {}]
})";
    line_row const rows[] = {
        {{config_part::routes, 0, {}}, 4},
        {{config_part::routes, 1, {}}, 5},
        {{config_part::routes, 2, {}}, 6},
        {{config_part::routes, 3, {}}, 7},
        {{config_part::routes, 4, {}}, 0},
        {{config_part::pools, 0, {}}, 0},
        {{config_part::workspaces, 0, {}}, 11},
        {{config_part::workspaces, 0, 1}, 11},
        {{config_part::workspaces, 1, {}}, 13},
        {{config_part::workspaces, 2, {}}, 0},
        {{config_part::body_limit, {}, {}}, 14},
        {{config_part::version, {}, {}}, 14},
    };
    auto const listing = list_config(text);
    for (auto const& row : rows)
    {
        CAPTURE(place_name(row.place_));
        CHECK(listing.line_of(row.place_) == row.line_);
    }
}

// Guards against an error that quotes a key, as the JSON parser's own does.
TEST_CASE("a text that cannot be read is refused without quoting it")
{
    constexpr std::size_t levels = 100'000;
    std::string const deep =
        std::string(levels, '[') + std::string(levels, ']');
    text_row const rows[] = {
        {"", 1, ""},
        {"{\n\"tenants\": [{\"api_keys\": [\"s3cret\" \"s3cret\"]}]}", 2, ""},
        {"{\"tenants\": [{\"api_keys\": [s3cret]}]}", 1, ""},
        {"{\"tenants\": [{\"api_keys\": [\"s3cret\t\"]}]}", 1, ""},
        {"{\"tenants\": [{\"api_keys\": [\"s3cret", 1, ""},
        {"{\n\"version\": 1e999, \"name\": \"s3cret\"}", 2, ""},
        {"[\"s3cret\"]", 0, ""},
        {"{\n\"version\": \"s3cret\"}", 2, "version"},
        {"{\"version\": 3,\n\n\"limits\": \"s3cret\"}", 3, "limits"},
        {"{\"limits\": {\"max_body_bytes\": \"s3cret\"}}", 1,
         "limits.max_body_bytes"},
        {"\n\n" + deep, 3, ""},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.text_.substr(0, 80));
        bool is_refused = false;
        try
        {
            list_config(row.text_);
        }
        catch (config_text_error const& error)
        {
            is_refused = true;
            CHECK(error.line() == row.line_);
            CHECK(error.place() == row.place_);
            CHECK(std::string(error.what()).find("s3cret") ==
                  std::string::npos);
        }
        CHECK(is_refused);
    }
}
