#include "kernel/cell/adaptive_timeout.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("one slow response raises the timeout")
{
    adaptive_timeout adaptive(150ms, 1500ms);
    for (int i = 0; i < 20; ++i)
    {
        adaptive.answered(10ms);
    }
    CHECK(adaptive.timeout() == 150ms);
    adaptive.unanswered();
    adaptive.unanswered();
    CHECK(adaptive.timeout() > 200ms);
    CHECK(adaptive.timeout() <= 240ms);
    adaptive.answered(700ms);
    CHECK(adaptive.timeout() == 1500ms);
    for (int i = 0; i < 60; ++i)
    {
        adaptive.answered(10ms);
    }
    CHECK(adaptive.timeout() == 150ms);
}

TEST_CASE("each missing response doubles the timeout up to its bound")
{
    adaptive_timeout adaptive(150ms, 1500ms);
    adaptive.answered(40ms);
    auto before = adaptive.timeout();
    for (int i = 0; i < 10; ++i)
    {
        adaptive.unanswered();
        CHECK(adaptive.timeout() >= before);
        before = adaptive.timeout();
    }
    CHECK(before == 1500ms);
}
