#ifndef CUMINFOLD_KERNEL_PLACEMENT_RUN_TIME_ESTIMATOR_HPP
#define CUMINFOLD_KERNEL_PLACEMENT_RUN_TIME_ESTIMATOR_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <map>

namespace cuminfold
{

/// Learns how far the run times of each service's jobs are from what their
/// callers declare.
class run_time_estimator
{
public:
    /// A job that was declared to run so long has finished after `observed`.
    void learn(service_name const& service, duration declared,
               duration observed);

    /// How long a job is likely to run, with a margin.
    duration estimate(service_name const& service, duration declared) const;

private:
    /// Moving average of observed over declared.
    std::map<service_name, double> ratio_;
};

} // namespace cuminfold

#endif
