#ifndef CUMINFOLD_KERNEL_CELL_JOB_STATE_HPP
#define CUMINFOLD_KERNEL_CELL_JOB_STATE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfold
{

/// Where a task is in its life.
enum class task_phase : std::uint8_t
{
    waiting,
    placed,   ///< chosen for a worker; the record of it is not stored yet
    starting, ///< the start was sent
    running,
    unresolved, ///< a start without an answer: it may run now, later or never
    stopping,   ///< asked to stop; holds its room until its end is listed
    done
};

/// One task, as its owner knows it.
struct task_state
{
    task_phase phase_ = task_phase::waiting;
    std::uint32_t run_ = 0;
    std::uint32_t failures_ = 0;
    std::string worker_;
    std::string checkpoint_;

    /// It was started under this owner's epoch; starts of earlier epochs are
    /// refused by a worker that has heard of this one.
    bool own_start_ = false;
    bool stop_accepted_ = false;
    time_point stop_sent_{};
    time_point stop_accepted_at_{};
    time_point started_{};

    std::uint32_t percent_ = 0;
    /// When `percent_` last changed.
    time_point progressed_at_{};
    /// A lasting task that is not at work, since when.
    time_point unavailable_since_{};
    time_point not_before_{};
};

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> tasks_;
    std::uint32_t done_ = 0;
    std::uint32_t waiting_ = 0;
    /// What a run of one of its tasks takes: as expected at first, later the
    /// shortest good run, since tasks of a step are alike.
    duration run_time_{0};
};

/// One time that a job's steps run.
struct occurrence_state
{
    std::vector<step_state> steps_;
    bool done_ = false;
};

/// A job in its owner's books.
struct job_state
{
    /// Null once the job has ended and nothing of it runs.
    std::shared_ptr<job_definition const> request_;
    pool_name pool_;
    std::string route_;
    job_status status_ = job_status::queued;
    /// What clients may be told: what the store holds.
    job_status stored_status_ = job_status::queued;
    bool stored_ = false;
    bool request_written_ = false;
    bool begun_ = false;
    bool long_running_ = false;
    bool dirty_ = false;
    time_point arrived_{};
    time_point ended_{};
    /// The time by which the job is on time.
    time_point objective_{};
    std::vector<occurrence_state> occurrences_;
    /// Requests that wait for the job's acceptance or cancelling to be stored.
    std::vector<std::uint64_t> accept_waiters_;
    std::vector<std::uint64_t> cancel_waiters_;

    bool ended() const noexcept
    {
        return status_ != job_status::queued && status_ != job_status::running;
    }
};

} // namespace cuminfold

#endif
