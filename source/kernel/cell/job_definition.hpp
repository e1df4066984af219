#ifndef CUMINFOLD_KERNEL_CELL_JOB_DEFINITION_HPP
#define CUMINFOLD_KERNEL_CELL_JOB_DEFINITION_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace cuminfold
{

/// Wall-clock time in milliseconds, used to schedule repeated jobs.
using calendar_time = std::chrono::time_point<std::chrono::system_clock,
                                              std::chrono::milliseconds>;

/// A group of clients that share keys and limits.
using workspace_name = identifier<struct workspace_name_tag>;
/// Null for a job of no workspace. Most deployments have none, so that jobs
/// hold a pointer instead of an empty name.
using shared_workspace = std::shared_ptr<workspace_name const>;

/// The resources that one task needs or that a worker has.
struct resource_amount
{
    std::int64_t cpu_milli_ = 0; ///< thousandths of a core
    std::int64_t memory_mb_ = 0;
    std::int64_t accelerators_ = 0;

    bool fits(resource_amount const& available) const noexcept
    {
        return cpu_milli_ <= available.cpu_milli_ &&
               memory_mb_ <= available.memory_mb_ &&
               accelerators_ <= available.accelerators_;
    }
    friend bool operator==(resource_amount const& a,
                           resource_amount const& b) noexcept
    {
        return a.fits(b) && b.fits(a);
    }
    resource_amount& operator+=(resource_amount const& other) noexcept
    {
        cpu_milli_ += other.cpu_milli_;
        memory_mb_ += other.memory_mb_;
        accelerators_ += other.accelerators_;
        return *this;
    }
    /// What that many of these amounts need together.
    friend resource_amount operator*(resource_amount const& each,
                                     std::int64_t times) noexcept
    {
        return {each.cpu_milli_ * times, each.memory_mb_ * times,
                each.accelerators_ * times};
    }
    resource_amount& operator-=(resource_amount const& other) noexcept
    {
        cpu_milli_ -= other.cpu_milli_;
        memory_mb_ -= other.memory_mb_;
        accelerators_ -= other.accelerators_;
        return *this;
    }
};

/// A job's step: tasks with the same requirements that may run in parallel.
struct job_step
{
    std::uint32_t tasks_ = 1;
    resource_amount each_;
    /// The client's estimate of one task's run time.
    duration estimate_{0};
    /// Indexes of the steps of the job that have to complete first.
    std::vector<std::uint32_t> after_;
    /// A label that the worker must have; empty: none.
    std::string label_;
    /// The rack that holds the input data; tasks take longer on other racks.
    std::string data_rack_;
    std::string image_;
    /// Limit on tasks of the step per worker; 0: no limit.
    std::uint32_t per_worker_ = 0;
    /// Limit on the long-running tasks of the step that maintenance and moves
    /// may interrupt at the same time.
    std::uint32_t max_unavailable_ = 0;
    /// Bound on the tail latency of a long-running task; 0: none.
    duration tail_target_{0};
    bool checkpointing_ = false;
    /// All tasks run together or not at all.
    bool gang_ = false;
    bool same_rack_ = false;
    bool copies_allowed_ = false;
    /// Runs until the job is cancelled.
    bool long_running_ = false;
    /// Uses only the processor time that other tasks leave idle.
    bool best_effort_ = false;
};

/// What a task of the step occupies of its worker.
inline resource_amount demand_of(job_step const& shape)
{
    auto demand = shape.each_;
    demand.cpu_milli_ = shape.best_effort_ ? 0 : demand.cpu_milli_;
    return demand;
}

/// A job as its client submitted it; immutable.
struct job_definition
{
    job_id id_;
    std::string route_;
    /// The queue's pool at the time when the job was accepted.
    pool_name pool_;
    /// Passed to each task unchanged.
    std::string text_;
    std::vector<job_step> steps_;
    /// The workspace whose key the job was submitted with.
    shared_workspace workspace_;
    /// The queue's limit on failed runs of one task at the time when the job
    /// was accepted. It applies if the queue is no longer configured.
    std::uint32_t max_attempts_ = 1;
    /// Number of times that the steps run; 0: once, without delay.
    std::uint32_t occurrences_ = 0;
    calendar_time first_run_{};
    duration interval_{0};
};

/// Identifies one task of a job.
struct task_id
{
    job_id job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;

    friend bool operator==(task_id const& a, task_id const& b)
    {
        return a.job_ == b.job_ && a.occurrence_ == b.occurrence_ &&
               a.step_ == b.step_ && a.index_ == b.index_;
    }
    friend bool operator<(task_id const& a, task_id const& b)
    {
        return std::tie(a.job_, a.occurrence_, a.step_, a.index_) <
               std::tie(b.job_, b.occurrence_, b.step_, b.index_);
    }
};

/// A task's name for logs: JOB.OCCURRENCE.STEP.INDEX.
inline std::string describe(task_id const& task)
{
    return task.job_.text() + "." + std::to_string(task.occurrence_) + "." +
           std::to_string(task.step_) + "." + std::to_string(task.index_);
}

/// Identifies one step of one occurrence of a job.
struct step_id
{
    job_id job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;

    friend bool operator==(step_id const& a, step_id const& b)
    {
        return a.job_ == b.job_ && a.occurrence_ == b.occurrence_ &&
               a.step_ == b.step_;
    }
    friend bool operator<(step_id const& a, step_id const& b)
    {
        return std::tie(a.job_, a.occurrence_, a.step_) <
               std::tie(b.job_, b.occurrence_, b.step_);
    }
};

/// A step's name for logs: JOB.OCCURRENCE.STEP.
inline std::string describe(step_id const& step)
{
    return step.job_.text() + "." + std::to_string(step.occurrence_) + "." +
           std::to_string(step.step_);
}

/// The status of a job, as reported to clients.
enum class job_status : std::uint8_t
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// The stored part of a task's state, from which a new owner restores it.
struct task_record
{
    task_id task_; ///< the job's id is left empty in a record of that job
    /// Number of the most recent run; 0: never started.
    std::uint32_t run_ = 0;
    std::uint32_t failures_ = 0;
    bool done_ = false;
    /// The worker that may be running the task; empty: none.
    std::string worker_;
    std::string checkpoint_;
};

/// The stored part of a job's state, from which a new owner restores it.
struct job_progress
{
    /// Whether the job is `queued` or `running` follows from its tasks.
    job_status status_ = job_status::queued;
    /// Set in the last record of a job of a workspace: its definition is
    /// deleted with that record.
    shared_workspace workspace_;
    /// Only tasks whose state differs from that of a new task.
    std::vector<task_record> tasks_;
};

} // namespace cuminfold

#endif
