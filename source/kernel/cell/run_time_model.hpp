#ifndef CUMINFOLD_KERNEL_CELL_RUN_TIME_MODEL_HPP
#define CUMINFOLD_KERNEL_CELL_RUN_TIME_MODEL_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/workspace_accounts.hpp"
#include "kernel/time.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// Predicts the run times of tasks from the clients' estimates.
///
/// The model fits one regression per queue. It corrects a constant factor
/// between estimates and run times, and moves predictions towards the queue's
/// mean run time where estimates correlate poorly with run times.
class run_time_model
{
public:
    /// Records the run time of a successful run. Ignored for long-running steps
    /// and for estimates below 20 ms.
    void observe(std::string const& route, job_step const& step,
                 duration run_time);

    /// The predicted run time of one task. It equals the client's estimate if
    /// the queue has no samples or the estimate is below 20 ms.
    duration predict(std::string const& route, job_step const& step) const;

    /// The predicted time of the job's longest chain of dependent steps;
    /// long-running steps count as 0.
    /// @param before_each delay before each step can begin
    /// @param account by whose limit wide steps run in waves; may be null
    duration longest_chain(job_definition const& job,
                           duration before_each = duration{0},
                           workspace_account const* account = nullptr) const;

    /// The predicted work of one task in worker-seconds.
    double task_work(std::string const& route, job_step const& step,
                     resource_amount const& worker) const;

    /// The predicted work of one occurrence in worker-seconds; long-running
    /// steps count as 0.
    double work(job_definition const& job, resource_amount const& worker) const;

private:
    /// Linear regression of the logarithms of run times on those of estimates,
    /// in seconds. The weight of a sample decays with each new one.
    class log_regression
    {
    public:
        log_regression();
        void add(double estimate, double run_time, double weight);
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
