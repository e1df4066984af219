#include "platform/worker_format.hpp"

#include "platform/body_codec.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

using namespace cuminfold;
using namespace cuminfold::platform;
using namespace std::chrono_literals;

namespace
{

/// A value of `born`, and what is read from it.
struct born_case
{
    char const* name_;
    nlohmann::json value_;
    /// Absent if the message is not readable.
    std::optional<calendar_time> start_;
};

born_case const born_cases[] = {
    {"absent", nullptr, calendar_time{}},
    {"a whole number", 1'790'000'000'123, calendar_time{1'790'000'000'123ms}},
    {"a whole number as floating point", 1'790'000'000'123.0,
     calendar_time{1'790'000'000'123ms}},
    {"a fraction", 1'790'000'000'123.5, std::nullopt},
    {"negative", -1, std::nullopt},
    {"text", "1790000000123", std::nullopt},
    {"a list", nlohmann::json::array({1}), std::nullopt},
};

std::optional<calendar_time> start_of_entry(nlohmann::json const& born)
{
    try
    {
        auto const body = write_body({{"service", "s"},
                                      {"address", "127.0.0.1:1"},
                                      {"state", "ready"},
                                      {"available_resources", {{"cpu", 1000}}},
                                      {"born", born}});
        return read_worker_entry("w", body).incarnation_start_;
    }
    catch (format_error const&)
    {
        return std::nullopt;
    }
}

std::optional<calendar_time> start_of_report(nlohmann::json const& born)
{
    try
    {
        std::size_t skipped = 0;
        return read_worker_report(write_body({{"clock_ms", 1}, {"born", born}}),
                                  skipped)
            .incarnation_start_;
    }
    catch (format_error const&)
    {
        return std::nullopt;
    }
}

} // namespace

// Guards against an incarnation that is taken from a value of another writer.
TEST_CASE("the start of a worker's incarnation is a whole number or absent")
{
    for (auto const& each : born_cases)
    {
        CAPTURE(std::string(each.name_));
        CHECK((start_of_entry(each.value_) == each.start_));
        CHECK((start_of_report(each.value_) == each.start_));
    }
}

// Guards against an entry of another writer that is taken for a worker.
TEST_CASE("a worker's entry that can't be true is not read")
{
    constexpr auto max_int = std::numeric_limits<std::int64_t>::max();
    constexpr auto max_uint = std::numeric_limits<std::uint64_t>::max();
    std::string const not_utf8 = "\xff\xfe";
    struct odd_fields
    {
        char const* name_;
        std::string id_;
        nlohmann::json fields_;
    };
    odd_fields const cases[] = {
        {"a port out of range", "w", {{"address", "127.0.0.1:99999"}}},
        {"a port of 0", "w", {{"address", "127.0.0.1:0"}}},
        {"no port", "w", {{"address", "127.0.0.1"}}},
        {"a host name", "w", {{"address", "worker:80"}}},
        {"a size of 2^63 - 1",
         "w",
         {{"available_resources", {{"cpu", max_int}}}}},
        {"a size of 2^64 - 1",
         "w",
         {{"available_resources", {{"mem_mb", max_uint}}}}},
        {"a size of 1e300", "w", {{"available_resources", {{"gpu", 1e300}}}}},
        {"a size below 0", "w", {{"available_resources", {{"cpu", -1}}}}},
        {"a zone that is not UTF-8", "w", {{"zone", not_utf8}}},
        {"a VM that is not UTF-8", "w", {{"machine", not_utf8}}},
        {"a label that is not UTF-8",
         "w",
         {{"labels", nlohmann::json::array({not_utf8})}}},
        {"a long service", "w", {{"service", std::string(10'000, 's')}}},
        {"an id that is not UTF-8", not_utf8, nlohmann::json::object()},
    };
    nlohmann::json const good = {{"service", "s"},
                                 {"address", "127.0.0.1:1"},
                                 {"state", "ready"},
                                 {"available_resources", {{"cpu", 1000}}}};
    CHECK(read_worker_entry("w", write_body(good)).size_.cpu_milli_ == 1000);
    for (auto const& each : cases)
    {
        CAPTURE(std::string(each.name_));
        auto entry = good;
        entry.update(each.fields_);
        CHECK_THROWS_AS(read_worker_entry(each.id_, write_body(entry)),
                        format_error);
    }
}

TEST_CASE("a row of a worker's report with an odd number is left out")
{
    constexpr auto max_uint = std::numeric_limits<std::uint64_t>::max();
    nlohmann::json const numbers[] = {-1, 1e300, max_uint, std::nan("")};
    for (auto const& number : numbers)
    {
        std::size_t skipped = 0;
        auto const report = read_worker_report(
            write_body({{"clock_ms", 1},
                        {"running",
                         {{"a.0.0.0", number, "", 1}, {"a.0.0.1", 1, "", 1}}},
                        {"finished",
                         {{number, "a.0.0.2", 1, "done", ""},
                          {1, "a.0.0.3", 1, "done", ""}}}}),
            skipped);
        CHECK(report.running_.size() == 1);
        CHECK(report.ended_.size() == 1);
        CHECK(skipped == 2);
    }
}
