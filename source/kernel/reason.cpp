#include "kernel/reason.hpp"

namespace cuminfold
{

namespace
{

using rc = reason_class;

// clang-format off
constexpr std::array<reason_entry, reason_count> table = {{
    {reason::deadline_unreachable, rc::refusal, "deadline_unreachable", "The answer was predicted to come after the deadline. Add workers or allow callers more time."},
    {reason::deadline_passed, rc::refusal, "deadline_passed", "The deadline passed before the request was dispatched. Look at the queue and at the workers' run times."},
    {reason::queue_full, rc::refusal, "queue_full", "The service's queue is at its bound. Add workers or reduce the load."},
    {reason::quota_exceeded, rc::refusal, "quota_exceeded", "The team uses its quota and may not borrow. Raise the team's slots."},
    {reason::no_worker, rc::refusal, "no_worker", "No worker of the service can take work. Look at the pool, its drains and ejected workers."},
    {reason::unknown_service, rc::refusal, "unknown_service", "No service of that name is in force. Compare the caller's address with `cuminfold get`."},
    {reason::bad_request, rc::refusal, "bad_request", "The request's head is malformed or contradicts itself. The caller mends it."},
    {reason::body_too_large, rc::refusal, "body_too_large", "The body is over the gateway's limit. The caller sends less, or raise the limit."},
    {reason::hop_limit, rc::refusal, "hop_limit", "The request was forwarded once already and may not be again. Look for gateways with unlike views."},
    {reason::not_ready, rc::refusal, "not_ready", "The process does not know the state of the fleet yet. Look at the platform's log and at the peers."},
    {reason::leaving, rc::refusal, "leaving", "The gateway is stopping. The caller asks another one."},
    {reason::claim_log_unavailable, rc::refusal, "claim_log_unavailable", "The claim could not be recorded in time. Look at the platform's log."},
    {reason::claim_taken, rc::refusal, "claim_taken", "Another request holds this key. The caller waits for that one's answer."},
    {reason::claim_running, rc::refusal, "claim_running", "The request of this key is still running. The caller comes back later."},
    {reason::claim_mismatch, rc::refusal, "claim_mismatch", "The key was used for another body. The caller takes a new key."},
    {reason::claim_outcome_unknown, rc::unknown_outcome, "claim_outcome_unknown", "The earlier run of this key ended unseen. Check the worker's own records before a new key is used."},
    {reason::key_required, rc::refusal, "key_required", "Work that is not idempotent needs an Idempotency-Key. The caller sends one."},
    {reason::cancelled, rc::refusal, "cancelled", "The caller cancelled before the request was dispatched."},
    {reason::retry_budget_empty, rc::refusal, "retry_budget_empty", "The pool's retry budget is spent. Look at the failing workers."},
    {reason::worker_refused, rc::refusal, "worker_refused", "The worker said that it did not start the request. Look at slots and connections."},
    {reason::ring_full, rc::refusal, "ring_full", "A bounded ring between two threads is full. The process is overloaded."},
    {reason::worker_lost, rc::unknown_outcome, "worker_lost", "The connection broke after the request was sent. Look at the worker."},
    {reason::worker_timeout, rc::unknown_outcome, "worker_timeout", "The worker did not answer by the deadline. Look at the worker."},
    {reason::reply_truncated, rc::unknown_outcome, "reply_truncated", "The worker's reply ended early. Look at the worker."},
    {reason::reply_mismatched, rc::unknown_outcome, "reply_mismatched", "The worker's reply names another request. Take the worker out and look at it."},
    {reason::reply_too_large, rc::unknown_outcome, "reply_too_large", "The worker's reply is over the gateway's limit."},
    {reason::forward_lost, rc::unknown_outcome, "forward_lost", "The gateway it was forwarded to did not answer."},
    {reason::claimant_lost, rc::unknown_outcome, "claimant_lost", "The gateway that held the claim is gone. Check the worker's own records."},
    {reason::retry_connect_failed, rc::retry, "retry_connect_failed", "A worker could not be reached; another was tried."},
    {reason::retry_worker_error, rc::retry, "retry_worker_error", "A worker answered with an error; another was tried."},
    {reason::retry_worker_refused, rc::retry, "retry_worker_refused", "A worker did not start the request; another was tried."},
    {reason::retry_worker_lost, rc::retry, "retry_worker_lost", "A worker's connection broke; another was tried."},
    {reason::retry_reply_broken, rc::retry, "retry_reply_broken", "A worker's reply was not whole; another was tried."},
    {reason::hedge_slow, rc::retry, "hedge_slow", "A worker was slow; a second one was asked besides."},
    {reason::worker_ejected, rc::retry, "worker_ejected", "A worker failed far more than the others of its pool and gets no requests for a while. Look at that worker."},
    {reason::late_reply, rc::dropped_reply, "late_reply", "A reply came after its request had ended."},
    {reason::duplicate_reply, rc::dropped_reply, "duplicate_reply", "A second reply came for one dispatch."},
    {reason::job_infeasible, rc::job, "job_infeasible", "No worker of the pool is large enough for the job."},
    {reason::job_quarantined, rc::job, "job_quarantined", "The job failed on several workers and is not tried again."},
    {reason::job_unknown, rc::job, "job_unknown", "The job's run ended unseen. Check the worker's own records."},
    {reason::job_team_quota, rc::job, "job_team_quota", "The team's quota is used; the job waits."},
    {reason::config_conflict, rc::config, "config_conflict", "The file was changed by somebody else. Read it back and apply again."},
    {reason::config_invalid, rc::config, "config_invalid", "The merged files are not valid; the earlier ones stay in force."},
    {reason::budget_exhausted, rc::maintenance, "budget_exhausted", "A drain would take the pool below its need. Add VMs or lower the need."},
    {reason::reserve_exhausted, rc::maintenance, "reserve_exhausted", "A drain would use up the pool's failure reserve. Add VMs or choose a smaller reserve."},
    {reason::outside_window, rc::maintenance, "outside_window", "The maintenance window is closed."},
    {reason::wave_stopped, rc::maintenance, "wave_stopped", "VMs of the wave did not return healthy; the wave stopped."},
    {reason::acknowledgement_missing, rc::maintenance, "acknowledgement_missing", "A gateway has not acknowledged the release of a VM. Look at that gateway."},
    {reason::vm_not_back, rc::maintenance, "vm_not_back", "A VM did not return after its reboot. Look at the VM."},
    {reason::drain_undone, rc::maintenance, "drain_undone", "A drain did not end in its window and was undone."},
    {reason::grant_withdrawn, rc::maintenance, "grant_withdrawn", "A drain grant was withdrawn before it started."},
    {reason::vm_busy, rc::maintenance, "vm_busy", "The VM is in a move or a drain already."},
    {reason::log_unavailable, rc::log, "log_unavailable", "The platform's log did not answer. Look at the platform."},
    {reason::log_rate_limited, rc::log, "log_rate_limited", "Low-value records wait, since appends are at their share."},
    {reason::log_gap, rc::log, "log_gap", "Retention passed the reader; it loads the newest snapshot."},
    {reason::append_unknown, rc::log, "append_unknown", "An append's reply was lost; its fate is read back."},
    {reason::record_stale, rc::log, "record_stale", "A record's preconditions no longer held at its offset."},
    {reason::record_duplicate, rc::log, "record_duplicate", "A record was seen twice and folded to nothing."},
    {reason::record_unknown_kind, rc::log, "record_unknown_kind", "A record of a newer version was met. Finish the upgrade."},
    {reason::snapshot_corrupt, rc::log, "snapshot_corrupt", "A snapshot failed its digest; the one before is used."},
    {reason::frame_invalid, rc::peer, "frame_invalid", "A peer sent a frame that does not decode; it was disconnected."},
    {reason::frame_too_large, rc::peer, "frame_too_large", "A peer sent a frame over the limit; it was disconnected."},
    {reason::peer_version, rc::peer, "peer_version", "A peer speaks another version."},
    {reason::peer_duplicate_address, rc::peer, "peer_duplicate_address", "Two nodes claim one address or name. Mend the settings."},
}};
// clang-format on

constexpr bool in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        if (static_cast<std::size_t>(table[i].value_) != i)
        {
            return false;
        }
    }
    return true;
}

static_assert(in_order(), "the table follows the enumeration's order");

} // namespace

std::array<reason_entry, reason_count> const& reason_table()
{
    return table;
}

reason_entry const& describe(reason value)
{
    return table[static_cast<std::size_t>(value)];
}

std::string_view name_of(reason value)
{
    return describe(value).name_;
}

} // namespace cuminfold
