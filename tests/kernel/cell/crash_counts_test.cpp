#include "kernel/cell/crash_counts.hpp"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace cuminfold;

TEST_CASE("crash counts are restored as they were stored")
{
    crash_counts const counts = {{{job_id{}, 0, 0, 3}, {1, 0}},
                                 {{job_id{}, 2, 1, 0}, {2, 1}}};
    CHECK(encode(counts) == "0 0 3 1 0\n2 1 0 2 1\n");
    CHECK(decode_crash_counts(encode(counts)) == counts);
    CHECK(decode_crash_counts("").empty());
}

TEST_CASE("a text that is no list of crash counts is rejected")
{
    for (auto const* const text : {"0 0 3 1", "0 0 3 1 1 7", "a 0 3 1 1", "\n"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(decode_crash_counts(text), std::invalid_argument);
    }
}
