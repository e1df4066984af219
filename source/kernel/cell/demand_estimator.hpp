#ifndef CUMINFOLD_KERNEL_CELL_DEMAND_ESTIMATOR_HPP
#define CUMINFOLD_KERNEL_CELL_DEMAND_ESTIMATOR_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>

namespace cuminfold
{

/// Estimates the rate at which clients submit work to each pool, including
/// jobs that are refused. Work is measured in worker-seconds. A surge lasts as
/// long as the last four jobs arrived within 0.5 s.
class demand_estimator
{
public:
    /// Records a submitted job. A job that its client submits again within
    /// six seconds of the last attempt counts once.
    /// @param work of the job in worker-seconds
    /// @return whether the job counts, since it was not submitted before
    bool add(pool_name const& pool, job_id const& job, double work,
             time_point now);

    /// The current demand in worker-seconds per second; 0 for a pool without
    /// jobs. During the first 0.9 s of a surge the rate is at least 80 % of
    /// what remains of the previous surge's rate after exponential decay.
    double rate(pool_name const& pool, time_point now) const;

private:
    struct pool_rate
    {
        double rate_ = 0;
        time_point updated_at_{};
        /// The mean rate of the newest surge that lasted longer than 0.9 s,
        /// and the time of its last job.
        double surge_rate_ = 0;
        time_point surge_rate_at_{};
        /// `surge_rate_` at the start of the current surge, decayed by its
        /// age.
        double expected_surge_rate_ = 0;
        /// Arrival times of the most recent jobs, oldest first.
        std::deque<time_point> arrivals_;
        /// Start of the current surge, and the work submitted since then in
        /// worker-seconds.
        time_point surge_began_{};
        double surge_work_ = 0;
    };

    /// The moving average, decayed from its last update to `now`.
    static double decayed_rate(pool_rate const& entry, time_point now);
    static bool in_surge(pool_rate const& entry, time_point now);
    void evict_seen_jobs(time_point now);

    std::map<pool_name, pool_rate> rates_;
    std::unordered_map<std::string, time_point> last_seen_;
    time_point next_eviction_{};
};

} // namespace cuminfold

#endif
