#ifndef CUMINFOLD_KERNEL_CELL_JOB_STATE_HPP
#define CUMINFOLD_KERNEL_CELL_JOB_STATE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/worker_clock.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfold
{

/// The phase of a task.
enum class task_phase : std::uint8_t
{
    waiting,
    placed,   ///< assigned to a worker; the record is not stored yet
    starting, ///< the start request was sent
    running,
    /// The start request got no answer: the task may run now, later or never.
    unresolved,
    /// A stop was requested. The task keeps its resources until the worker
    /// reports its end.
    stopping,
    done
};

/// A task's state at the owner of the cell.
struct task_state
{
    task_phase phase_ = task_phase::waiting;
    std::uint32_t run_ = 0;
    std::uint32_t failures_ = 0;
    std::string worker_;
    std::string checkpoint_;

    /// The task was started under this owner's epoch. A worker that has
    /// received a request of this epoch refuses starts of earlier ones.
    bool own_start_ = false;
    /// The end of the lease that the start requested, on the worker's clock.
    /// The worker refuses a start that arrives later.
    worker_clock start_expires_at_{0};
    bool stop_accepted_ = false;
    time_point stop_sent_{};
    time_point stop_accepted_at_{};
    time_point started_{};
    /// From then on no stop that was sent before can end the run.
    time_point established_at_{};

    /// Progress as reported by the worker.
    std::uint32_t percent_ = 0;
    /// When `percent_` last changed.
    time_point progressed_at_{};
    /// Since when a long-running task is not serving; unset while it serves.
    time_point unavailable_since_{};
    /// Earliest time of the next start.
    time_point not_before_{};
};

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> tasks_;
    std::uint32_t done_ = 0;
    std::uint32_t waiting_ = 0;
    /// Run time of one task of the step: the predicted one at first, later the
    /// shortest successful run, since the tasks of a step are alike.
    duration run_time_{0};
    /// When it was last logged that tasks of the step wait for room.
    time_point wait_logged_at_{};
};

/// One execution of a job's steps.
struct occurrence_state
{
    std::vector<step_state> steps_;
    bool done_ = false;
};

/// A job's state at the owner of the cell.
struct job_state
{
    /// Null once the job has ended and none of its tasks runs.
    std::shared_ptr<job_definition const> request_;
    pool_name pool_;
    std::string route_;
    job_status status_ = job_status::queued;
    /// The status in the store, which is the one reported to clients.
    job_status stored_status_ = job_status::queued;
    /// The store holds the job's acceptance.
    bool stored_ = false;
    /// A batch for the store has included the job's definition.
    bool request_written_ = false;
    /// A task of the job was started.
    bool begun_ = false;
    bool long_running_ = false;
    /// The job has changes that no batch for the store includes yet.
    bool dirty_ = false;
    time_point arrived_{};
    time_point ended_{};
    /// Time by which the job should end.
    time_point objective_{};
    std::vector<occurrence_state> occurrences_;
    /// Exchanges with clients that wait until the job's acceptance or
    /// cancellation is stored.
    std::vector<std::uint64_t> accept_waiters_;
    std::vector<std::uint64_t> cancel_waiters_;

    bool ended() const noexcept
    {
        return status_ != job_status::queued && status_ != job_status::running;
    }
};

} // namespace cuminfold

#endif
