#ifndef CUMINFOLD_KERNEL_CELL_JOB_STATE_HPP
#define CUMINFOLD_KERNEL_CELL_JOB_STATE_HPP

#include "kernel/cell/begun_runs.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/start_budget.hpp"
#include "kernel/cell/task_blocks.hpp"
#include "kernel/cell/worker_clock.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
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

/// Which other tasks may run on a task's worker. A task whose worker crashed
/// may be the cause, so that it is kept from others until that is known.
enum class task_isolation : std::uint8_t
{
    none,    ///< any, unless they are isolated
    grouped, ///< a few others that are suspected as well
    alone,   ///< no other task
    /// Only long-running tasks that are not suspected, in a pool where no
    /// worker is without.
    beside_long_running,
    /// Any that are not suspected: no worker became free in time.
    waived
};

/// A task's state at the owner of the cell.
struct task_state
{
    task_phase phase_ = task_phase::waiting;
    std::uint32_t run_ = 0;
    /// Failed runs. A member of a gang has the number of the gang's runs that
    /// had failed when it last failed.
    std::uint32_t failures_ = 0;
    std::string worker_;
    std::string checkpoint_;

    /// Workers that crashed while they ran the task. Stored.
    std::uint32_t crashes_ = 0;
    /// Those of them on which the run is known to have begun. A new owner
    /// assumes `prime_crashes_`, which is never more.
    std::uint32_t begun_crashes_ = 0;
    /// Those of `begun_crashes_` for which no other task had as many crashes,
    /// and that crashed without much of their rack or data centre. Stored.
    std::uint32_t prime_crashes_ = 0;
    /// A new owner knows the runs that workers report to it.
    begun_runs begun_runs_;
    /// The latest run that is known to have begun on an incarnation of its
    /// worker that the owner knew, so that it ends with that incarnation.
    std::uint32_t confirmed_run_ = 0;
    /// Workers that stopped answering while they ran the task, of which it is
    /// not known whether they crashed. Stored as `lost_runs`.
    std::uint32_t unexplained_losses_ = 0;
    /// Of a finite task. Stored.
    start_budget start_budget_;
    /// Crashes of runs up to this one do not count: a run has lasted since, or
    /// the task is done.
    std::uint32_t acquitted_run_ = 0;
    /// The latest such run had lasted for a while before its worker was lost.
    bool ran_before_loss_ = false;
    /// The isolation that the present placement provides.
    task_isolation isolation_ = task_isolation::none;
    /// Since when the task waits for placement again.
    time_point waiting_since_{};

    /// The task was started under this owner's epoch. A worker that has
    /// received a request of this epoch refuses starts of earlier ones.
    bool own_start_ = false;
    /// This owner waits for the answer to the start.
    bool start_in_flight_ = false;
    /// The end of the lease that the start requested, on the worker's clock.
    /// The worker refuses a start that arrives later.
    worker_clock start_expires_at_{0};
    bool stop_accepted_ = false;
    time_point stop_sent_{};
    time_point stop_accepted_at_{};
    /// When this owner sent the start; unset for runs of earlier owners.
    time_point start_sent_{};
    time_point started_{};
    /// The latest time at which the run is known not to have ended.
    time_point reported_at_{};
    /// When an answer of the worker first listed the run neither as running
    /// nor as ended; unset if none has.
    time_point missing_since_{};
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
    /// Until then an orphaned run of the task may last on a worker.
    time_point orphan_ends_by_{};
};

/// When a waiting task may be started again.
inline time_point earliest_start(task_state const& task)
{
    return std::max(task.not_before_, task.orphan_ends_by_);
}

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> tasks_;
    std::uint32_t done_ = 0;
    std::uint32_t waiting_ = 0;
    /// The latest run of a gang that counts as failed.
    std::uint32_t failed_run_ = 0;
    /// Run time of one task of the step: the predicted one at first, later the
    /// shortest successful run, since the tasks of a step are alike.
    duration run_time_{0};
    /// When it was last logged that tasks of the step wait for room.
    time_point wait_logged_at_{};
};

class workspace_account;

/// One execution of a job's steps.
struct occurrence_state
{
    std::vector<step_state> steps_;
    bool done_ = false;
};

/// Records of one kind, of the blocks of a job.
struct block_records
{
    /// Blocks whose record is out of date.
    std::set<block_number> changed_;
    /// Blocks whose record the store has.
    std::set<block_number> stored_;
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
    /// A run of the job is known to have begun; one whose start has no answer
    /// may not have.
    bool begun_ = false;
    bool long_running_ = false;
    /// It was accepted by an earlier owner and does not fit into this one's
    /// memory.
    bool exceeds_memory_ = false;
    /// It was beyond its workspace's share when it arrived. Not stored.
    bool beyond_share_ = false;
    /// Of its workspace; null if it has none.
    workspace_account* account_ = nullptr;
    task_blocks blocks_;
    /// Blocks with changes that no batch for the store includes yet. The
    /// record of block 0 also holds the job's status.
    std::set<block_number> dirty_blocks_;
    /// Blocks beyond the first whose progress the store has.
    std::set<block_number> stored_blocks_;
    /// The crashes under the job's tasks.
    block_records crash_records_;
    /// The tasks' `start_budget::used()`.
    block_records start_records_;
    /// The tasks' `lost_runs`.
    block_records loss_records_;
    /// The tasks' `confirmed_run_`.
    block_records confirmation_records_;
    /// Its `memory_bound()` while the owner holds its tasks.
    std::uint64_t memory_ = 0;
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
