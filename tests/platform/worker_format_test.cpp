#include "platform/worker_format.hpp"

#include "platform/body_codec.hpp"

#include <doctest/doctest.h>

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
