#include "platform/body_codec.hpp"
#include "platform/client_format.hpp"
#include "platform/config_format.hpp"
#include "platform/worker_format.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfold;
using namespace cuminfold::platform;

namespace
{

/// A reader of bytes, and a body that it can read.
struct body_reader
{
    char const* name_;
    nlohmann::json valid_;
    void (*read_)(std::string const& bytes);
};

void read_job_request(std::string const& bytes)
{
    http_request request;
    request.method_ = "POST";
    request.path_ = "/queue/0000000000000001";
    request.body_ = bytes;
    read_client_call(request);
}

body_reader const readers[] = {
    {"worker entry",
     {{"service", "s"},
      {"address", "127.0.0.1:1"},
      {"state", "ready"},
      {"labels", {"a"}},
      {"born", 1},
      {"available_resources", {{"cpu", 1}, {"mem_mb", 1}, {"gpu", 1}}}},
     [](std::string const& bytes) { read_worker_entry("w", bytes); }},
    {"worker report",
     {{"clock_ms", 1},
      {"born", 1},
      {"running", {{"a.0.0.0", 1, "", 1}}},
      {"finished", {{1, "a.0.0.1", 1, "done", ""}}}},
     [](std::string const& bytes)
     {
         std::size_t skipped = 0;
         read_worker_report(bytes, skipped);
     }},
    {"job",
     {{"spec", "1"},
      {"repeat_count", 1},
      {"first_run_ms", 1},
      {"interval_ms", 1},
      {"steps",
       {{{"count", 1},
         {"cpu", 1},
         {"mem_mb", 1},
         {"gpu", 1},
         {"estimate_ms", 1},
         {"anti_affinity", 1},
         {"max_unavailable", 1},
         {"target_ms", 1}},
        {{"count", 1}, {"depends_on", {0}}}}}},
     read_job_request},
    {"configuration",
     {{"version", 1},
      {"routes",
       {{{"name", "r"},
         {"host", "h"},
         {"path_prefix", "/"},
         {"service", "s"},
         {"priority", 1},
         {"max_attempts", 1},
         {"stretch_factor", 1.5},
         {"slo_ms", 1},
         {"recommendation",
          {{"decision_ms", 1}, {"per_item_ms", 1}, {"validity_ms", 1}}}}}},
      {"services", {{{"name", "s"}}}},
      {"limits", {{"max_body_bytes", 1}}}},
     [](std::string const& bytes)
     {
         std::size_t skipped = 0;
         read_config(bytes, skipped);
     }},
    {"wave",
     {{"wave", 1}, {"machines", {"m"}}, {"duration_s", 1.5}, {"max_count", 1}},
     [](std::string const& bytes) { read_wave(bytes); }},
};

/// Any exception but a `format_error` fails the case.
void check_read(body_reader const& reader, std::string const& bytes)
{
    try
    {
        reader.read_(bytes);
    }
    catch (format_error const&)
    {
        return;
    }
}

/// Replaces each value of the body in turn, at every depth.
void replace_each(nlohmann::json& value, nlohmann::json const& odd,
                  nlohmann::json const& body, body_reader const& reader)
{
    auto const kept = std::exchange(value, odd);
    check_read(reader, write_body(body));
    value = kept;
    if (value.is_structured())
    {
        for (auto& child : value)
        {
            replace_each(child, odd, body, reader);
        }
    }
}

nlohmann::json nested(std::size_t levels)
{
    nlohmann::json value = 1;
    for (std::size_t i = 0; i < levels; ++i)
    {
        value = nlohmann::json::array({std::move(value)});
    }
    return value;
}

} // namespace

// Guards against a node that ends at a field of another writer.
TEST_CASE("each field may hold any value")
{
    using limits = std::numeric_limits<std::int64_t>;
    std::vector<nlohmann::json> const odd_values = {
        nullptr,
        true,
        "",
        "\xff\xfe",
        std::string(100'000, 'x'),
        -1,
        limits::max(),
        limits::min(),
        std::numeric_limits<std::uint64_t>::max(),
        1e300,
        -1e300,
        std::numeric_limits<double>::quiet_NaN(),
        nlohmann::json::array(),
        nlohmann::json::object(),
        nlohmann::json::binary({1, 2}),
        nested(20),
        nested(200)};
    for (auto const& reader : readers)
    {
        CAPTURE(std::string(reader.name_));
        CHECK_NOTHROW(reader.read_(write_body(reader.valid_)));
        for (auto const& odd : odd_values)
        {
            auto body = reader.valid_;
            CHECK_NOTHROW(replace_each(body, odd, body, reader));
        }
    }
}

TEST_CASE("changed bodies are read or refused by a typed error")
{
    using changes = std::vector<std::pair<std::uint16_t, char>>;
    for (auto const& reader : readers)
    {
        auto const valid = write_body(reader.valid_);
        check_property(reader.name_,
                       [&](changes const& made, std::uint16_t cut)
                       {
                           auto bytes = valid;
                           for (auto const& each : made)
                           {
                               bytes[each.first % bytes.size()] = each.second;
                           }
                           check_read(reader,
                                      bytes.substr(0, cut % 4 == 0
                                                          ? cut % bytes.size()
                                                          : bytes.size()));
                       });
    }
}

// Guards against a decoder that recurses for each level until the stack ends.
TEST_CASE("bodies that are nested without an end are refused")
{
    constexpr std::size_t levels = 1'000'000;
    for (char const head :
         {'\x81', '\x9f', '\xa1', '\xbf', '\x5f', '\x7f', '\xc1', '\xd8'})
    {
        for (auto const& reader : readers)
        {
            CHECK_THROWS_AS(reader.read_(std::string(levels, head)),
                            format_error);
        }
    }
}
