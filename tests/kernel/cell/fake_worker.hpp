#ifndef CUMINFOLD_TESTS_KERNEL_CELL_FAKE_WORKER_HPP
#define CUMINFOLD_TESTS_KERNEL_CELL_FAKE_WORKER_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/worker_state.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// A worker that follows the platform's page: tokens, runs, leases on a clock
/// of its own that is 2% slow, ends that are listed until acknowledged.
class fake_worker
{
public:
    struct run
    {
        std::uint32_t number_ = 0;
        std::int64_t cpu_milli_ = 0;
        time_point began_{};
        /// Far away: it lasts.
        time_point ends_{};
        bool fails_ = false;
        /// When a stop takes effect.
        time_point stops_ = time_point::max();
    };

    fake_worker(worker_registration entry, time_point now);

    worker_clock clock(time_point now) const;
    call_outcome start(std::uint64_t token, start_run const& order, run planned,
                       time_point now);
    call_outcome stop(std::uint64_t token, task_id const& task,
                      std::uint32_t number, time_point now);
    call_outcome renew(std::uint64_t token, renew_worker const& order,
                       worker_report& report, time_point now);
    /// Lets runs and leases end.
    void advance(time_point now);

    worker_registration entry_;
    std::map<task_id, run> running_;
    std::map<task_id, std::uint32_t> ended_runs_;
    std::vector<end_report> ends_;
    /// Ends that were acknowledged before the lease lapsed.
    std::vector<end_report> noted_;
    bool cut_ = false;
    /// How long a run goes on after it was asked to stop.
    duration stop_time_{0};

private:
    void end(task_id const& task, run_end how);
    void extend(worker_clock until);

    time_point born_;
    std::uint64_t token_ = 0;
    worker_clock lease_{0};
    std::uint64_t next_end_ = 1;
    /// The lease lapsed between these ends and their acknowledgement.
    std::uint64_t lapsed_ = 0;
};

} // namespace cuminfold

#endif
