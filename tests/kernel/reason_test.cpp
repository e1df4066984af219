#include "kernel/reason.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace cuminfold;

TEST_CASE("each reason has a row, a name of its own and help")
{
    std::set<std::string_view> names;
    for (auto const& entry : reason_table())
    {
        CAPTURE(entry.name_);
        CHECK(describe(entry.value_).name_ == entry.name_);
        CHECK(names.insert(entry.name_).second);
        CHECK_FALSE(entry.help_.empty());
    }
    CHECK(names.size() == reason_count);
}
