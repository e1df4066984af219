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

/// Measures how much work clients ask of each pool, whether it is taken or
/// refused. Work is counted in worker-seconds.
class demand_estimator
{
public:
    /// A job was handed in. One that was refused lately counts once, however
    /// often its client repeats it.
    void add(pool_name const& pool, job_id const& job, double work,
             time_point now);

    /// Worker-seconds a second that are asked of the pool now. While jobs come
    /// thick and fast it is no less than what such a time asked for before.
    double rate(pool_name const& pool, time_point now) const;

private:
    struct pool_rate
    {
        double rate_ = 0;
        time_point updated_at_{};
        /// The mean rate of the newest surge that lasted, and until when.
        double surge_rate_ = 0;
        time_point surge_rate_at_{};
        /// The same when the present surge began, faded by its age.
        double expected_surge_rate_ = 0;
        /// When the last jobs came.
        std::deque<time_point> arrivals_;
        /// Since when jobs come thick and fast, and their work.
        time_point surge_began_{};
        double surge_work_ = 0;
    };

    static double decayed_rate(pool_rate const& entry, time_point now);
    static bool in_surge(pool_rate const& entry, time_point now);
    void evict_seen_jobs(time_point now);

    std::map<pool_name, pool_rate> rates_;
    std::unordered_map<std::string, time_point> last_seen_;
    time_point next_eviction_{};
};

} // namespace cuminfold

#endif
