#include "kernel/cell/demand_estimator.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

pool_name const pool{"tally"};

/// Hands in jobs of that work at that pace.
time_point hand_in(demand_estimator& meter, time_point from,
                   std::chrono::milliseconds time,
                   std::chrono::milliseconds gap, double work, int& number)
{
    auto now = from;
    for (; now < from + time; now += gap)
    {
        meter.add(pool, job_id{"job" + std::to_string(number++)}, work, now);
    }
    return now;
}

} // namespace

TEST_CASE("a steady load is measured as it is")
{
    demand_estimator meter;
    int number = 0;
    auto const now =
        hand_in(meter, time_point{10s}, 10'000ms, 200ms, 1.0, number);
    CHECK(meter.rate(pool, now) > 3.5);
    CHECK(meter.rate(pool, now) < 7.0);
}

TEST_CASE("a turn of demand is seen within a quarter of a second, and the next "
          "at its first jobs")
{
    demand_estimator meter;
    int number = 0;
    auto now = hand_in(meter, time_point{10s}, 300ms, 20ms, 0.3, number);
    CHECK(meter.rate(pool, now) > 8);
    now = hand_in(meter, now, 3700ms, 20ms, 0.3, number);
    auto const full = meter.rate(pool, now);
    CHECK(full > 10);
    // In between it asks for a hundredth.
    now = hand_in(meter, now, 12'000ms, 2000ms, 0.3, number);
    CHECK(meter.rate(pool, now) < 1);
    now = hand_in(meter, now, 80ms, 20ms, 0.3, number);
    CHECK(meter.rate(pool, now) > full / 2);
}

TEST_CASE("a few large jobs in a turn of demand are not taken for its pace")
{
    demand_estimator meter;
    int number = 0;
    auto now = hand_in(meter, time_point{10s}, 2000ms, 40ms, 1, number);
    now = hand_in(meter, now, 80ms, 20ms, 15, number);
    now = hand_in(meter, now, 1000ms, 40ms, 1, number);
    CHECK(meter.rate(pool, now) < 50);
    now = hand_in(meter, now, 12'000ms, 2000ms, 1, number);
    now = hand_in(meter, now, 160ms, 40ms, 1, number);
    CHECK(meter.rate(pool, now) < 60);
}

TEST_CASE("a job that a client repeats after a refusal counts once")
{
    demand_estimator meter;
    for (int i = 0; i < 20; ++i)
    {
        meter.add(pool, job_id{"same"}, 1.0, time_point{10s + 50ms * i});
    }
    CHECK(meter.rate(pool, time_point{11s}) < 2);
}
