#include "kernel/cell/run_time_book.hpp"

#include "kernel/cell/placement_rule.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Share of a new sample in the moving average.
constexpr double learning_rate = 0.05;
/// A single sample counts at most this many times its guess.
constexpr double largest_ratio = 5.0;
/// Guesses below this tell nothing about the ratio.
constexpr duration least_guess = std::chrono::milliseconds{20};

} // namespace

void run_time_book::observe(std::string const& route, job_step const& step,
                            duration taken)
{
    if (step.lasting_ || step.estimate_ < least_guess)
    {
        return;
    }
    double const sample =
        std::min(largest_ratio, to_seconds(taken) / to_seconds(step.estimate_));
    auto const place = ratios_.try_emplace(route, 1.0).first;
    place->second += learning_rate * (sample - place->second);
}

duration run_time_book::expect(std::string const& route,
                               job_step const& step) const
{
    auto const found = ratios_.find(route);
    double const ratio = found == ratios_.end() ? 1.0 : found->second;
    return from_seconds(to_seconds(step.estimate_) * ratio);
}

duration run_time_book::chain(job_definition const& job,
                              duration before_each) const
{
    std::vector<duration> ends(job.steps_.size(), duration{0});
    duration longest{0};
    for (std::size_t i = 0; i < job.steps_.size(); ++i)
    {
        duration begin{0};
        for (auto const before : job.steps_[i].after_)
        {
            begin = std::max(begin, before < i ? ends[before] : duration{0});
        }
        ends[i] = begin + before_each +
                  (job.steps_[i].lasting_ ? duration{0}
                                          : expect(job.route_, job.steps_[i]));
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double run_time_book::task_work(std::string const& route, job_step const& step,
                                resource_amount const& worker) const
{
    return worker_share(step.each_, worker) * to_seconds(expect(route, step));
}

double run_time_book::work(job_definition const& job,
                           resource_amount const& worker) const
{
    double sum = 0;
    for (auto const& step : job.steps_)
    {
        sum += step.lasting_
                   ? 0
                   : step.tasks_ * task_work(job.route_, step, worker);
    }
    return sum;
}

} // namespace cuminfold
