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

/// A worker that follows the platform's specification: it checks fencing
/// tokens and run numbers, keeps leases on its own clock, which runs 2% slow,
/// and lists the ends of runs until they are acknowledged. An object is one
/// incarnation of the worker.
class fake_worker
{
public:
    struct run
    {
        std::uint32_t number_ = 0;
        resource_amount used_;
        time_point began_{};
        /// `time_point::max()` for a long-running task.
        time_point ends_{};
        bool fails_ = false;
        /// When a stop takes effect; `time_point::max()` if none was received.
        time_point stops_ = time_point::max();
    };

    fake_worker(worker_registration entry, time_point now);

    /// The worker's own clock at that time.
    worker_clock clock(time_point now) const;
    /// The worker's VM was suspended, so that its clock stood still.
    void suspend(duration time)
    {
        created_ += time;
    }
    /// How long its lease lasts from that time on, if it is not extended.
    worker_clock lease_left(time_point now) const
    {
        return lease_ - clock(now);
    }
    /// Starts `planned` with the run number of `order`; a task that is running
    /// keeps its present run. The lease is also taken from a start that is
    /// refused as `run_too_old`.
    /// @return `fenced`, `too_late` or `run_too_old` if the token, the lease or
    ///         the run number is out of date
    call_outcome start(std::uint64_t token, start_run const& order, run planned,
                       time_point now);
    /// Ends the run `number` or an earlier one of that task after `stop_time_`;
    /// runs up to `number` are refused from then on.
    /// @return `fenced` if the token is out of date
    call_outcome stop(std::uint64_t token, task_id const& task,
                      std::uint32_t number, time_point now);
    /// Extends the lease if the order has one, removes the acknowledged ends
    /// and fills `report`.
    /// @return `fenced` if the token is out of date
    call_outcome renew(std::uint64_t token, renew_worker const& order,
                       worker_report& report, time_point now);
    /// Ends a run of a gang whose other members are lost.
    void break_run(task_id const& task)
    {
        end(task, run_end::gang_broken);
    }
    /// Ends the runs whose time, stop or lease has passed.
    void advance(time_point now);

    worker_registration entry_;
    std::map<task_id, run> running_;
    /// Highest run number of each task that has ended or was stopped.
    std::map<task_id, std::uint32_t> ended_runs_;
    /// Ends that were not acknowledged yet.
    std::vector<end_report> ends_;
    /// Ends that were acknowledged before the lease lapsed.
    std::vector<end_report> acknowledged_ends_;
    /// No call reaches the worker.
    bool disconnected_ = false;
    /// The worker's VM is down, so that connections to it are refused.
    bool is_down_ = false;
    /// How long a run continues after a stop was accepted.
    duration stop_time_{0};
    /// A lease that ends later is shortened to this.
    worker_clock max_lease_{3000};

private:
    /// Removes a run and lists its end.
    void end(task_id const& task, run_end how);
    void extend(worker_clock until, time_point now);

    time_point created_;
    std::uint64_t token_ = 0;
    worker_clock lease_{0};
    std::uint64_t next_end_ = 1;
    /// Ends up to this number were not acknowledged before the lease lapsed.
    std::uint64_t last_lapsed_end_ = 0;
};

} // namespace cuminfold

#endif
