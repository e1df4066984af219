#ifndef CUMINFOLD_KERNEL_CELL_WORKER_STATE_HPP
#define CUMINFOLD_KERNEL_CELL_WORKER_STATE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// A point on a worker's own monotonic clock.
using worker_clock = std::chrono::milliseconds;

/// A worker as it registered itself.
struct worker_registration
{
    /// Names one life of the worker.
    std::string id_;
    std::string address_; ///< `IP:PORT`
    pool_name pool_;
    data_centre_name data_centre_;
    vm_id vm_;
    resource_amount size_;
    std::set<std::string> labels_;
    bool draining_ = false;
};

/// One task that a worker says it runs.
struct running_report
{
    task_id task_;
    std::uint32_t run_ = 0;
    std::string checkpoint_;
    std::uint32_t percent_ = 0;
};

/// How a run ended, as its worker says.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lapsed,
    gang_broken,
    gang_incomplete,
    unknown
};

/// The end of one run.
struct end_report
{
    std::uint64_t number_ = 0;
    task_id task_;
    std::uint32_t run_ = 0;
    run_end outcome_ = run_end::unknown;
    std::string checkpoint_;
};

/// A worker's answer to a renewal: all that runs, and the ends that were not
/// acknowledged yet.
struct worker_report
{
    worker_clock clock_{0};
    std::vector<running_report> running_;
    std::vector<end_report> ended_;
};

/// How a call to a worker ended.
enum class call_outcome : std::uint8_t
{
    accepted,
    not_sent,    ///< the worker has seen nothing of it
    no_answer,   ///< it may be carried out now, later or never
    fenced,      ///< the worker knows a newer owner
    run_too_old, ///< that run or a newer one has ended there
    too_late,    ///< the lease given had lapsed on arrival
    no_room,
    ticket_refused,
    incarnation_mismatch, ///< another life of the worker answers at that
                          ///< address
    not_run               ///< the worker refused and did nothing
};

/// A worker in the owner's books.
struct worker_state
{
    worker_registration entry_;
    /// It was asked under the present epoch and has answered.
    bool fenced_ = false;
    /// Its entry was removed from the store.
    bool gone_ = false;
    /// Another life runs on its VM, or answers at its address.
    bool incarnation_ended_ = false;
    time_point first_seen_{};
    /// Nothing new is placed on it: it is to be moved or maintained.
    bool reserved_ = false;

    worker_clock clock_{0};
    time_point clock_read_at_{};
    /// Everything there has ended by then unless it is renewed.
    time_point lease_expires_at_{};
    time_point answered_{};

    bool renewal_in_flight_ = false;
    /// It was asked once more while that renewal waits.
    bool extra_renewal_sent_ = false;
    time_point renewal_sent_{};
    time_point next_renewal_{};
    std::uint32_t unanswered_renewals_ = 0;
    /// Ends up to this number were read, and those up to `recorded_` have
    /// been recorded, so they may be acknowledged.
    std::uint64_t read_ = 0;
    std::uint64_t recorded_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// What the renewal that is out acknowledges.
    std::uint64_t acknowledging_ = 0;

    resource_amount used_;
    std::set<task_id> tasks_;
    std::uint32_t long_running_tasks_ = 0;
    /// Tasks that fill unused time, and tasks with a bound on their tail.
    std::uint32_t best_effort_tasks_ = 0;
    std::uint32_t tail_bounded_tasks_ = 0;
    /// Runs there that no job asks for any more; they hold room till they end.
    std::map<task_id, std::uint32_t> orphaned_runs_;
    time_point orphans_stopped_at_{};

    time_point draining_since_{};
    /// Failed or stalled runs since the last good one.
    std::uint32_t consecutive_failures_ = 0;
    time_point avoided_until_{};
};

} // namespace cuminfold

#endif
