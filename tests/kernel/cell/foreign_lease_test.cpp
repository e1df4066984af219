#include "kernel/cell/foreign_lease.hpp"

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("a lease by another clock is read as it was written")
{
    foreign_lease const lease{calendar_time{1'789'454'308'660ms}, 10'366ms};
    auto const read = decode_foreign_lease(encode(lease));
    CHECK(read.incarnation_start_ == lease.incarnation_start_);
    CHECK(read.until_ == lease.until_);
}

TEST_CASE("a text that is no lease by another clock is refused")
{
    for (std::string const text : {"", "1", "1 x", "1 2 3", "a 2"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(decode_foreign_lease(text), std::invalid_argument);
    }
}
