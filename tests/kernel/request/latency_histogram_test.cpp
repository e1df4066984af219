#include "kernel/request/latency_histogram.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("quantiles are at most an eighth too high")
{
    check_property("quantile bounds",
                   []
                   {
                       auto const values =
                           *rc::gen::container<std::vector<std::uint32_t>>(
                               39, rc::gen::inRange(0U, 10000000U));
                       latency_histogram histogram;
                       std::vector<duration> samples;
                       for (auto const value : values)
                       {
                           samples.emplace_back(value);
                           histogram.add(samples.back());
                       }
                       std::sort(samples.begin(), samples.end());
                       duration const exact = samples[(samples.size() - 1) / 2];
                       RC_ASSERT(histogram.p50() >= exact);
                       RC_ASSERT(histogram.p50() <= exact + exact / 7 + 1us);
                       RC_ASSERT(histogram.has_enough_samples());
                   });
}

TEST_CASE("the weight of old samples decays")
{
    latency_histogram histogram;
    for (int i = 0; i < 3000; ++i)
    {
        histogram.add(1s);
    }
    for (int i = 0; i < 20000; ++i)
    {
        histogram.add(10ms);
    }
    CHECK(histogram.p95() < 20ms);
    CHECK(histogram.mean() < 20ms);
}
