#include "kernel/cell/begun_runs.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

struct begun_case
{
    char const* name_;
    std::vector<std::uint32_t> added_;
    std::vector<std::uint32_t> contained_;
    std::vector<std::uint32_t> missing_;
};

} // namespace

TEST_CASE("runs are known to have begun until 64 later ones were placed")
{
    begun_case const cases[] = {
        {"none", {}, {}, {0, 1, 64, 4'000'000'000}},
        {"the first", {1}, {1}, {0, 2, 65}},
        {"twice", {3, 3}, {3}, {2, 4}},
        {"with a gap", {1, 4}, {1, 4}, {2, 3, 5}},
        {"an earlier one later", {4, 2}, {2, 4}, {1, 3, 5}},
        {"63 apart", {1, 64}, {1, 64}, {2, 63}},
        {"64 apart", {1, 65}, {65}, {1, 64}},
        {"a forgotten one later", {65, 1}, {65}, {1}},
        {"far apart", {1, 4'000'000'000}, {4'000'000'000}, {1, 3'999'999'999}},
    };
    for (auto const& each : cases)
    {
        CAPTURE(std::string(each.name_));
        begun_runs runs;
        for (auto const run : each.added_)
        {
            runs.add(run);
        }
        for (auto const run : each.contained_)
        {
            CAPTURE(run);
            CHECK(runs.contains(run));
        }
        for (auto const run : each.missing_)
        {
            CAPTURE(run);
            CHECK_FALSE(runs.contains(run));
        }
    }
}
