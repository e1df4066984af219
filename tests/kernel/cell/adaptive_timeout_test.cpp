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

namespace
{

/// What other calls to a dependency have measured, and the first timeout.
struct first_timeout_case
{
    char const* name_;
    std::chrono::milliseconds measured_;
    std::chrono::milliseconds timeout_;
};

first_timeout_case const first_timeout_cases[] = {
    {"nothing was measured", 0ms, 150ms},
    {"a fast store", 7ms, 150ms},
    {"a store as slow as the least timeout allows", 50ms, 150ms},
    {"a slow store", 300ms, 900ms},
    {"a store that hardly answers", 1400ms, 1500ms},
};

} // namespace

TEST_CASE("the first append to a store that is known to be slow is not "
          "repeated before it can be answered")
{
    for (auto const& each : first_timeout_cases)
    {
        CAPTURE(each.name_);
        adaptive_timeout adaptive(150ms, 1500ms, each.measured_);
        CHECK(adaptive.timeout() == each.timeout_);
        // Responses of a fast store lead back to the lower bound.
        for (int i = 0; i < 60; ++i)
        {
            adaptive.answered(7ms);
        }
        CHECK(adaptive.timeout() == 150ms);
    }
}

// Doubling a timeout that was computed from response times of 0.3 ms did not
// reach the lower bound, so that each append to a store that had become slow
// timed out.
TEST_CASE("appends to a store that was fast and becomes slow are answered "
          "after a few timeouts")
{
    for (auto const response_time : {100us, 300us, 7000us, 20'000us})
    {
        CAPTURE(response_time.count());
        adaptive_timeout adaptive(150ms, 1500ms);
        for (int i = 0; i < 20; ++i)
        {
            adaptive.answered(response_time);
        }
        CHECK(adaptive.timeout() == 150ms);
        duration wasted{0};
        while (adaptive.timeout() <= 300ms && wasted < 5s)
        {
            wasted += adaptive.timeout();
            adaptive.unanswered();
        }
        CHECK(wasted <= 600ms);
    }
}
