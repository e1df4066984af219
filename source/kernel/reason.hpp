#ifndef CUMINFOLD_KERNEL_REASON_HPP
#define CUMINFOLD_KERNEL_REASON_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminfold
{

/// Why something was refused, retried, dropped or put off.
///
/// The one enumeration of the project: each value has a row in
/// `reason_table()` and a counter in `/metrics`.
enum class reason : std::uint8_t
{
    // Refusals of a caller's request.
    deadline_unreachable,
    deadline_passed,
    queue_full,
    quota_exceeded,
    no_worker,
    unknown_service,
    bad_request,
    body_too_large,
    hop_limit,
    not_ready,
    leaving,
    claim_log_unavailable,
    claim_taken,
    claim_running,
    claim_mismatch,
    claim_outcome_unknown,
    key_required,
    cancelled,
    retry_budget_empty,
    worker_refused,
    ring_full,
    // Outcomes that are unknown.
    worker_lost,
    worker_timeout,
    reply_truncated,
    reply_mismatched,
    reply_too_large,
    forward_lost,
    claimant_lost,
    // Retries and hedges.
    retry_connect_failed,
    retry_worker_error,
    retry_worker_refused,
    retry_worker_lost,
    retry_reply_broken,
    hedge_slow,
    worker_ejected,
    // Replies that are dropped.
    late_reply,
    duplicate_reply,
    // Jobs.
    job_infeasible,
    job_quarantined,
    job_unknown,
    job_team_quota,
    // Configuration.
    config_conflict,
    config_invalid,
    // Drains, moves and waves that wait or stop.
    budget_exhausted,
    reserve_exhausted,
    outside_window,
    wave_stopped,
    acknowledgement_missing,
    vm_not_back,
    drain_undone,
    grant_withdrawn,
    vm_busy,
    // Log and messages.
    log_unavailable,
    log_rate_limited,
    log_gap,
    append_unknown,
    record_stale,
    record_duplicate,
    record_unknown_kind,
    snapshot_corrupt,
    frame_invalid,
    frame_too_large,
    peer_version,
    peer_duplicate_address,
    total ///< the number of reasons; not a reason
};

inline constexpr std::size_t reason_count =
    static_cast<std::size_t>(reason::total);

/// What a counter of a reason is about.
enum class reason_class : std::uint8_t
{
    refusal,
    unknown_outcome,
    retry,
    dropped_reply,
    job,
    config,
    maintenance,
    log,
    peer
};

/// One row of the table of reasons.
struct reason_entry
{
    reason value_;
    reason_class class_;
    /// The name in metrics, problem documents and logs.
    std::string_view name_;
    /// What it means and what an operator does about it.
    std::string_view help_;
};

/// All reasons, in the order of the enumeration.
std::array<reason_entry, reason_count> const& reason_table();

/// The row of one reason.
reason_entry const& describe(reason value);

/// The name of one reason.
std::string_view name_of(reason value);

} // namespace cuminfold

#endif
