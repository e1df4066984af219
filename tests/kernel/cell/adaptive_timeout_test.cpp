#include "kernel/cell/adaptive_timeout.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("a dependency that turns slow is waited for after one answer")
{
    adaptive_timeout clock(150ms, 1500ms);
    for (int i = 0; i < 20; ++i)
    {
        clock.answered(10ms);
    }
    CHECK(clock.timeout() == 150ms);
    clock.unanswered();
    clock.unanswered();
    CHECK(clock.timeout() > 200ms);
    CHECK(clock.timeout() <= 240ms);
    clock.answered(700ms);
    CHECK(clock.timeout() == 1500ms);
    for (int i = 0; i < 60; ++i)
    {
        clock.answered(10ms);
    }
    CHECK(clock.timeout() == 150ms);
}

TEST_CASE("without answers the time doubles up to its bound")
{
    adaptive_timeout clock(150ms, 1500ms);
    clock.answered(40ms);
    auto before = clock.timeout();
    for (int i = 0; i < 10; ++i)
    {
        clock.unanswered();
        CHECK(clock.timeout() >= before);
        before = clock.timeout();
    }
    CHECK(before == 1500ms);
}
