#include "kernel/cell/run_time_model.hpp"

#include "kernel/cell/placement_rule.hpp"

#include <algorithm>
#include <cmath>

namespace cuminfold
{

namespace
{

/// Share of the older samples' weight that is left after a new one.
constexpr double kept_weight = 0.995;
/// A guess is taken at its word with this weight until samples say otherwise.
constexpr double prior_weight = 4;
/// Guesses and times below this tell nothing about each other.
constexpr duration least_time = std::chrono::milliseconds{20};

double log_of(duration time)
{
    return std::log(to_seconds(std::max(time, least_time)));
}

} // namespace

run_time_model::fit::fit()
{
    // A tenth of a second, a second and ten, each guessed right.
    for (double const at : {std::log(0.1), 0.0, std::log(10.0)})
    {
        add(at, at, prior_weight);
    }
}

void run_time_model::fit::add(double guess, double taken, double weight)
{
    weight_ += weight;
    guesses_ += weight * guess;
    taken_ += weight * taken;
    squares_ += weight * guess * guess;
    products_ += weight * guess * taken;
}

void run_time_model::fit::fade()
{
    for (auto* const sum :
         {&weight_, &guesses_, &taken_, &squares_, &products_})
    {
        *sum *= kept_weight;
    }
}

double run_time_model::fit::expect(double guess) const
{
    double const mean_guess = guesses_ / weight_;
    double const spread = squares_ / weight_ - mean_guess * mean_guess;
    double const joint = products_ / weight_ - mean_guess * taken_ / weight_;
    // All guesses alike: their mean is all there is to know.
    double const slope =
        spread > 1e-6 ? std::clamp(joint / spread, 0.0, 1.0) : 0.0;
    return taken_ / weight_ + slope * (guess - mean_guess);
}

void run_time_model::observe(std::string const& route, job_step const& step,
                             duration taken)
{
    if (step.long_running_ || step.estimate_ < least_time)
    {
        return;
    }
    auto& fit = fits_[route];
    fit.fade();
    fit.add(log_of(step.estimate_), log_of(taken), 1);
}

duration run_time_model::expect(std::string const& route,
                                job_step const& step) const
{
    auto const found = fits_.find(route);
    if (found == fits_.end() || step.estimate_ < least_time)
    {
        return step.estimate_;
    }
    return from_seconds(std::exp(found->second.expect(log_of(step.estimate_))));
}

duration run_time_model::chain(job_definition const& job,
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
        ends[i] =
            begin + before_each +
            (job.steps_[i].long_running_ ? duration{0}
                                         : expect(job.route_, job.steps_[i]));
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double run_time_model::task_work(std::string const& route, job_step const& step,
                                 resource_amount const& worker) const
{
    return worker_share(step.each_, worker) * to_seconds(expect(route, step));
}

double run_time_model::work(job_definition const& job,
                            resource_amount const& worker) const
{
    double sum = 0;
    for (auto const& step : job.steps_)
    {
        sum += step.long_running_
                   ? 0
                   : step.tasks_ * task_work(job.route_, step, worker);
    }
    return sum;
}

} // namespace cuminfold
