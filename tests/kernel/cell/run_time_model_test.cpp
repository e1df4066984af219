#include "kernel/cell/run_time_model.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

job_step step_with_estimate(std::chrono::milliseconds estimate)
{
    job_step step;
    step.estimate_ = estimate;
    return step;
}

struct estimate_case
{
    char const* name_;
    /// Standard deviations of the logarithms of run times, and of the ratio of
    /// estimates to run times.
    double time_spread_;
    double estimate_spread_;
    std::chrono::milliseconds estimate_;
    std::chrono::milliseconds min_;
    std::chrono::milliseconds max_;
};

/// Run times scatter around 600 ms, and estimates around the run times.
estimate_case const cases[] = {
    {"accurate estimates are kept", 0.7, 0.05, 200ms, 170ms, 240ms},
    {"inaccurate estimates move to the mean: a short one", 0.4, 0.8, 150ms,
     350ms, 600ms},
    {"inaccurate estimates move to the mean: a long one", 0.4, 0.8, 3000ms,
     600ms, 1300ms},
    {"equal estimates", 0.3, 0.0, 600ms, 500ms, 720ms},
};

} // namespace

TEST_CASE("estimates are weighted by the accuracy of their queue")
{
    for (auto const& each : cases)
    {
        CAPTURE(each.name_);
        run_time_model model;
        std::mt19937 random(7);
        std::normal_distribution<double> normal;
        for (int i = 0; i < 400; ++i)
        {
            double const time =
                600 * std::exp(each.time_spread_ * normal(random));
            double const estimate =
                time * std::exp(each.estimate_spread_ * normal(random));
            model.observe("queue",
                          step_with_estimate(std::chrono::milliseconds{
                              std::llround(estimate)}),
                          std::chrono::milliseconds{std::llround(time)});
        }
        auto const expected =
            model.predict("queue", step_with_estimate(each.estimate_));
        CHECK(expected > each.min_);
        CHECK(expected < each.max_);
    }
}

TEST_CASE("a queue without samples keeps its estimates")
{
    run_time_model model;
    CHECK(model.predict("queue", step_with_estimate(150ms)) == 150ms);
    CHECK(model.predict("queue", step_with_estimate(0ms)) == 0ms);
}
