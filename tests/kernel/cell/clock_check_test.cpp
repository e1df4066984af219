#include "kernel/cell/clock_check.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr time_point read_at{1000s};
constexpr worker_clock known{600'000};

/// An answer, in times from the known reading on.
struct answer_case
{
    char const* name_;
    std::chrono::milliseconds sent_;
    std::chrono::milliseconds clock_;
    std::chrono::milliseconds lag_;
};

answer_case const answer_cases[] = {
    {"at the same moment", 0ms, 0ms, 0ms},
    {"a clock as fast as the owner's", 10'000ms, 10'000ms, 0ms},
    {"a clock 2 % slow", 10'000ms, 9800ms, 0ms},
    {"a clock 2 % slow after a long time", 1'000'000ms, 980'000ms, 0ms},
    {"rounded down", 10'000ms, 9798ms, 0ms},
    {"a call sent before the reading", -150ms, -140ms, 0ms},
    {"a reading that was under way", 100ms, 1500ms, 0ms},
    {"ahead", 10'000ms, 4'000'000ms, 0ms},
    {"a clock that stood still", 10'000ms, 4800ms, 5000ms},
    {"a call sent before the reading, behind", -150ms, -650ms, 500ms},
    {"a clock that began anew", 10'000ms, -590'000ms, 599'800ms},
};

} // namespace

TEST_CASE("an answer's clock is compared with an earlier reading")
{
    for (auto const& each : answer_cases)
    {
        CAPTURE(std::string(each.name_));
        CHECK(clock_lag({known, read_at}, known + each.clock_,
                        read_at + each.sent_) == each.lag_);
    }
}
