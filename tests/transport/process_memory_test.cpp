#include "transport/process_memory.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <vector>

using namespace cuminfold;

TEST_CASE("the resident memory grows by what the process writes")
{
    constexpr std::size_t bytes = 64U << 20U;
    auto const before = resident_memory();
    CHECK(before > 0);
    std::vector<char> const written(bytes, 'x');
    CHECK(resident_memory() >= before + bytes / 2);
    CHECK(written.back() == 'x');
}
