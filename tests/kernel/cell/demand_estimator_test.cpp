#include "kernel/cell/demand_estimator.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

pool_name const pool{"tally"};

/// Submits a job of that work in worker-seconds at each `gap` for `time`.
/// @return the time after the last job
time_point submit_jobs(demand_estimator& estimator, time_point from,
                       std::chrono::milliseconds time,
                       std::chrono::milliseconds gap, double work, int& number)
{
    auto now = from;
    for (; now < from + time; now += gap)
    {
        estimator.add(pool, job_id{"job" + std::to_string(number++)}, work,
                      now);
    }
    return now;
}

} // namespace

TEST_CASE("a steady load is estimated at its rate")
{
    demand_estimator estimator;
    int number = 0;
    auto const now =
        submit_jobs(estimator, time_point{10s}, 10'000ms, 200ms, 1.0, number);
    CHECK(estimator.rate(pool, now) > 3.5);
    CHECK(estimator.rate(pool, now) < 7.0);
}

TEST_CASE("a surge raises the rate within 0.3 s, and the next surge does so at "
          "its first jobs")
{
    demand_estimator estimator;
    int number = 0;
    auto now =
        submit_jobs(estimator, time_point{10s}, 300ms, 20ms, 0.3, number);
    CHECK(estimator.rate(pool, now) > 8);
    now = submit_jobs(estimator, now, 3700ms, 20ms, 0.3, number);
    auto const full = estimator.rate(pool, now);
    CHECK(full > 10);
    // Between surges the load is a hundredth.
    now = submit_jobs(estimator, now, 12'000ms, 2000ms, 0.3, number);
    CHECK(estimator.rate(pool, now) < 1);
    now = submit_jobs(estimator, now, 80ms, 20ms, 0.3, number);
    CHECK(estimator.rate(pool, now) > full / 2);
}

TEST_CASE("a few large jobs in a surge do not set its rate")
{
    demand_estimator estimator;
    int number = 0;
    auto now = submit_jobs(estimator, time_point{10s}, 2000ms, 40ms, 1, number);
    now = submit_jobs(estimator, now, 80ms, 20ms, 15, number);
    now = submit_jobs(estimator, now, 1000ms, 40ms, 1, number);
    CHECK(estimator.rate(pool, now) < 50);
    now = submit_jobs(estimator, now, 12'000ms, 2000ms, 1, number);
    now = submit_jobs(estimator, now, 160ms, 40ms, 1, number);
    CHECK(estimator.rate(pool, now) < 60);
}

TEST_CASE("a refused job that its client submits again counts once")
{
    demand_estimator estimator;
    for (int i = 0; i < 20; ++i)
    {
        estimator.add(pool, job_id{"same"}, 1.0, time_point{10s + 50ms * i});
    }
    CHECK(estimator.rate(pool, time_point{11s}) < 2);
}
