#include "kernel/cell/run_time_model.hpp"

#include "kernel/cell/placement_rule.hpp"

#include <algorithm>
#include <cmath>

namespace cuminfold
{

namespace
{

/// Factor on the weight of older samples at each new sample.
constexpr double decay_factor = 0.995;
/// Weight of each of the initial samples, whose run times equal the estimates.
constexpr double prior_weight = 4;
/// Below this, estimates and run times are unrelated.
constexpr duration min_time = std::chrono::milliseconds{20};

double log_of(duration time)
{
    return std::log(to_seconds(std::max(time, min_time)));
}

} // namespace

run_time_model::log_regression::log_regression()
{
    // Initial samples of 0.1 s, 1 s and 10 s.
    for (double const at : {std::log(0.1), 0.0, std::log(10.0)})
    {
        add(at, at, prior_weight);
    }
}

void run_time_model::log_regression::add(double estimate, double run_time,
                                         double weight)
{
    weight_sum_ += weight;
    estimate_sum_ += weight * estimate;
    run_time_sum_ += weight * run_time;
    estimate_square_sum_ += weight * estimate * estimate;
    product_sum_ += weight * estimate * run_time;
}

void run_time_model::log_regression::decay()
{
    for (auto* const sum : {&weight_sum_, &estimate_sum_, &run_time_sum_,
                            &estimate_square_sum_, &product_sum_})
    {
        *sum *= decay_factor;
    }
}

double run_time_model::log_regression::predict(double estimate) const
{
    double const mean_estimate = estimate_sum_ / weight_sum_;
    double const variance =
        estimate_square_sum_ / weight_sum_ - mean_estimate * mean_estimate;
    double const covariance = product_sum_ / weight_sum_ -
                              mean_estimate * run_time_sum_ / weight_sum_;
    // Equal estimates carry no information beyond the mean run time.
    double const slope =
        variance > 1e-6 ? std::clamp(covariance / variance, 0.0, 1.0) : 0.0;
    return run_time_sum_ / weight_sum_ + slope * (estimate - mean_estimate);
}

void run_time_model::observe(std::string const& route, job_step const& step,
                             duration run_time)
{
    if (step.long_running_ || step.estimate_ < min_time)
    {
        return;
    }
    auto& regression = regressions_[route];
    regression.decay();
    regression.add(log_of(step.estimate_), log_of(run_time), 1);
}

duration run_time_model::predict(std::string const& route,
                                 job_step const& step) const
{
    auto const found = regressions_.find(route);
    if (found == regressions_.end() || step.estimate_ < min_time)
    {
        return step.estimate_;
    }
    return from_seconds(
        std::exp(found->second.predict(log_of(step.estimate_))));
}

duration run_time_model::longest_chain(job_definition const& job,
                                       duration before_each,
                                       workspace_account const* account) const
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
            (job.steps_[i].long_running_
                 ? duration{0}
                 : predict(job.route_, job.steps_[i]) *
                       waves(account, job.steps_[i], job.steps_[i].tasks_));
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double run_time_model::task_work(std::string const& route, job_step const& step,
                                 resource_amount const& worker) const
{
    return worker_share(step.each_, worker) * to_seconds(predict(route, step));
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
