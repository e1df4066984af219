#ifndef CUMINFOLD_KERNEL_CELL_WORKER_STATE_HPP
#define CUMINFOLD_KERNEL_CELL_WORKER_STATE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/worker_clock.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// A worker that was lost longer ago than this and has not returned is not
/// expected to show any more whether it crashed.
constexpr duration max_loss_age = std::chrono::seconds{20};

/// The start of an incarnation for logs, in milliseconds since 1970.
inline std::string describe(calendar_time start)
{
    return std::to_string(start.time_since_epoch().count());
}

/// A worker as it registered itself.
struct worker_registration
{
    /// Identifies one incarnation of the worker.
    std::string id_;
    std::string address_; ///< `IP:PORT`
    pool_name pool_;
    data_centre_name data_centre_;
    vm_id vm_;
    resource_amount size_;
    std::set<std::string> labels_;
    bool draining_ = false;
    /// When the incarnation started, by the worker's calendar; tells the
    /// incarnations of one id apart. Unset if the platform does not state it.
    calendar_time incarnation_start_{};
};

/// A task that a worker reports as running.
struct running_report
{
    task_id task_;
    std::uint32_t run_ = 0;
    std::string checkpoint_;
    std::uint32_t percent_ = 0;
};

/// How a run ended, as reported by its worker.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lapsed, ///< the lease expired
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

/// A worker's answer to a renewal: all running tasks, and the oldest ends of
/// runs that are not acknowledged yet. Later ends may be left out.
struct worker_report
{
    worker_clock clock_{0};
    /// As in `worker_registration`.
    calendar_time incarnation_start_{};
    std::vector<running_report> running_;
    std::vector<end_report> ended_;
};

/// The result of a request to a worker.
enum class call_outcome : std::uint8_t
{
    accepted,
    not_sent,    ///< the worker has not received the request
    no_answer,   ///< it may be carried out now, later or never
    fenced,      ///< the worker has seen a newer owner
    run_too_old, ///< that run or a newer one has ended on the worker
    too_late,    ///< the lease had expired when the request arrived
    no_room,
    ticket_refused,
    /// Another incarnation of the worker answers at that address.
    incarnation_mismatch,
    not_run ///< the worker refused the request, without effect
};

/// A worker's answer to an order to start or stop a run.
struct order_answer
{
    call_outcome outcome_ = call_outcome::no_answer;
    /// The worker's clock when it answered; unset if the answer states none.
    std::optional<worker_clock> clock_;
};

/// What the owner knows of one incarnation of a worker. A worker may start
/// again under its id; then none of this is true any more.
struct worker_incarnation
{
    /// As in `worker_registration`, from the worker's latest answer. Unset
    /// until then, and where the platform does not state it.
    calendar_time incarnation_start_{};
    /// The incarnation has answered a request with the worker's present token,
    /// so that it refuses requests with lower ones.
    bool fenced_ = false;
    /// Another incarnation may run under the id, and none has answered since.
    bool is_unconfirmed_ = false;
    /// The incarnation before had announced its end.
    bool predecessor_drained_ = false;
    /// When the owner learned of the incarnation.
    time_point first_seen_{};
    /// Runs that another incarnation may have begun by then have ended. Proved
    /// by an entry of this incarnation that was written later, or by a list of
    /// the VMs without the worker's id.
    time_point alone_until_{};

    worker_clock clock_{0};
    time_point clock_read_at_{};
    /// The latest end of a lease that this owner gave, on the worker's clock.
    worker_clock leased_until_{0};
    /// The same for orders that were computed by the clock of an earlier
    /// incarnation; 0 if there were none, or it has passed. Stored as
    /// `foreign_lease`.
    worker_clock foreign_lease_until_{0};

    /// Ends up to this number were read. Those up to `recorded_` are recorded
    /// and may be acknowledged.
    std::uint64_t read_ = 0;
    std::uint64_t recorded_ = 0;
    std::uint64_t acknowledged_ = 0;
    /// The renewal in flight acknowledges the ends up to this number.
    std::uint64_t acknowledging_ = 0;

    /// All runs that ended before this time had their ends read. An answer
    /// lists a limited number of ends, the oldest first.
    time_point ends_read_to_{};
    /// A run of the worker is known to have ended by then, whose end may not
    /// have been read.
    time_point end_due_{};

    /// Tasks and runs that were released when the lease lapsed, until the
    /// worker answers or it is known how it ended. Stored as `lost_runs`.
    std::map<task_id, std::uint32_t> lapsed_runs_;

    /// Until then only suspected tasks are placed on the worker.
    time_point isolated_until_{};
    /// Failed or stalled runs since the last successful one.
    std::uint32_t consecutive_failures_ = 0;
    time_point last_failure_{};
    time_point avoided_until_{};
};

/// A run that a worker may have and no job wants any more.
struct orphaned_run
{
    std::uint32_t run_ = 0;
    /// As in `task_state`.
    time_point missing_since_{};
};

/// A worker's state at the owner of the cell.
struct worker_state : worker_incarnation
{
    worker_registration entry_;
    /// Added to the epoch for the fencing token of requests to the worker.
    /// Raised whenever another incarnation may answer.
    std::uint32_t token_offset_ = 0;
    /// `incarnation_start_` as stored; unset if the store has none.
    calendar_time stored_start_{};
    /// The store has a `foreign_lease` of the worker.
    bool has_lease_record_ = false;
    /// The worker's entry was removed from the store, or its incarnation ended.
    bool unlisted_ = false;
    /// Another incarnation runs on the worker's VM or answers at its address.
    bool incarnation_ended_ = false;
    /// The worker's VM is about to be moved or maintained, so the worker gets
    /// no new tasks.
    bool reserved_ = false;
    /// When the order for the reserved VM was sent; `time_point::max()` until
    /// then.
    time_point order_sent_at_ = time_point::max();

    /// When an order that requests a lease was last sent to the worker's id.
    /// Unset if this owner has sent none.
    time_point lease_requested_at_{};
    /// All runs on the worker end by then unless the lease is renewed.
    time_point lease_expires_at_{};
    /// When the worker last answered.
    time_point answered_{};

    bool renewal_in_flight_ = false;
    /// An extra renewal was sent while the regular one is in flight.
    bool extra_renewal_sent_ = false;
    time_point renewal_sent_{};
    time_point next_renewal_{};
    std::uint32_t unanswered_renewals_ = 0;
    /// When the first of them failed. A crash breaks the worker's connections,
    /// so that this is the time of a crash.
    time_point silent_since_{};

    resource_amount used_;
    std::set<task_id> tasks_;
    /// How many of them stayed when the lease had lapsed; 0 once the worker
    /// answers.
    std::size_t kept_tasks_ = 0;
    std::uint32_t long_running_tasks_ = 0;
    /// Best-effort tasks, and tasks with a bound on their tail latency.
    std::uint32_t best_effort_tasks_ = 0;
    std::uint32_t tail_bounded_tasks_ = 0;
    /// Tasks that were placed with an isolation, and whether one of them runs
    /// alone.
    std::uint32_t suspected_tasks_ = 0;
    bool runs_alone_ = false;
    /// Tasks and runs that the worker may have had when its lease lapsed, until
    /// it answers or turns out to have crashed.
    std::map<task_id, std::uint32_t> lost_runs_;
    time_point lost_at_{};
    /// Runs of tasks that no job wants any more. They keep their resources
    /// until they end.
    std::map<task_id, orphaned_run> orphaned_runs_;
    time_point orphans_stopped_at_{};

    time_point draining_since_{};
};

/// The start of the incarnation that answered last, or else of the registered
/// one; unset if neither is known.
inline calendar_time known_start(worker_state const& worker)
{
    return worker.incarnation_start_ != calendar_time{}
               ? worker.incarnation_start_
               : worker.entry_.incarnation_start_;
}

/// Whether the registration is that of the incarnation that answers. A worker
/// may have another size, pool or address after a restart.
inline bool has_current_registration(worker_state const& worker)
{
    constexpr calendar_time unknown{};
    return worker.entry_.incarnation_start_ == unknown ||
           worker.incarnation_start_ == unknown ||
           worker.entry_.incarnation_start_ == worker.incarnation_start_;
}

} // namespace cuminfold

#endif
