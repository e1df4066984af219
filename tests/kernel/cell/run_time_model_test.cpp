#include "kernel/cell/run_time_model.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

job_step guessed(std::chrono::milliseconds guess)
{
    job_step step;
    step.estimate_ = guess;
    return step;
}

struct guess_case
{
    char const* name_;
    /// Of logarithms: how far times and guesses scatter.
    double time_spread_;
    double guess_spread_;
    std::chrono::milliseconds guess_;
    std::chrono::milliseconds least_;
    std::chrono::milliseconds most_;
};

/// Times lie around 600 ms, guesses around the times.
guess_case const cases[] = {
    {"good guesses are believed", 0.7, 0.05, 200ms, 170ms, 240ms},
    {"poor ones are drawn to the mean: a short one", 0.4, 0.8, 150ms, 350ms,
     600ms},
    {"poor ones are drawn to the mean: a long one", 0.4, 0.8, 3000ms, 600ms,
     1300ms},
    {"guesses that are all alike", 0.3, 0.0, 600ms, 500ms, 720ms},
};

} // namespace

TEST_CASE("a guess counts as much as the queue's guesses have been worth")
{
    for (auto const& each : cases)
    {
        CAPTURE(each.name_);
        run_time_model book;
        std::mt19937 random(7);
        std::normal_distribution<double> normal;
        for (int i = 0; i < 400; ++i)
        {
            double const time =
                600 * std::exp(each.time_spread_ * normal(random));
            double const guess =
                time * std::exp(each.guess_spread_ * normal(random));
            book.observe(
                "queue",
                guessed(std::chrono::milliseconds{std::llround(guess)}),
                std::chrono::milliseconds{std::llround(time)});
        }
        auto const expected = book.predict("queue", guessed(each.guess_));
        CHECK(expected > each.least_);
        CHECK(expected < each.most_);
    }
}

TEST_CASE("a queue without samples is taken at its word")
{
    run_time_model book;
    CHECK(book.predict("queue", guessed(150ms)) == 150ms);
    CHECK(book.predict("queue", guessed(0ms)) == 0ms);
}
