#ifndef CUMINFOLD_KERNEL_CELL_RUN_TIME_MODEL_HPP
#define CUMINFOLD_KERNEL_CELL_RUN_TIME_MODEL_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// Learns for each queue how run times relate to the clients' guesses: by how
/// much, and how far a guess is to be believed at all.
class run_time_model
{
public:
    /// A good run of a task of that step took this long.
    void observe(std::string const& route, job_step const& step,
                 duration taken);

    /// The expected run time of one task.
    duration predict(std::string const& route, job_step const& step) const;

    /// The expected time of the job's longest chain of steps.
    /// @param before_each what each step needs before it can begin
    duration longest_chain(job_definition const& job,
                           duration before_each = duration{0}) const;

    /// The expected work of one task in worker-seconds.
    double task_work(std::string const& route, job_step const& step,
                     resource_amount const& worker) const;

    /// The expected work of one occurrence in worker-seconds; lasting steps
    /// count nothing.
    double work(job_definition const& job, resource_amount const& worker) const;

private:
    /// A line through the logarithms of guesses and times; samples fade.
    class log_regression
    {
    public:
        log_regression();
        void add(double estimate, double taken, double weight);
        void decay();
        double predict(double estimate) const;

    private:
        double weight_sum_ = 0;
        double estimate_sum_ = 0;
        double run_time_sum_ = 0;
        double estimate_square_sum_ = 0;
        double product_sum_ = 0;
    };

    std::map<std::string, log_regression> regressions_;
};

} // namespace cuminfold

#endif
