#include "kernel/cell/step_waits.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("a wait lasts as long as each review observes the step")
{
    step_id const step{job_id{"a"}, 0, 1};
    step_waits waits;
    waits.begin_review();
    CHECK(waits.observe(step, time_point{1s}) == 0s);
    waits.begin_review();
    CHECK(waits.observe(step, time_point{3s}) == 2s);
    CHECK(waits.observe({job_id{"b"}, 0, 1}, time_point{3s}) == 0s);
    waits.begin_review();
    waits.begin_review();
    CHECK(waits.observe(step, time_point{4s}) == 0s);
}
