#ifndef CUMINFOLD_KERNEL_RECORD_HPP
#define CUMINFOLD_KERNEL_RECORD_HPP

#include "kernel/identifier.hpp"
#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The records of the platform's log.
///
/// A record is a proposal. It takes effect only if the preconditions that it
/// names hold where the fold meets it; otherwise it folds to nothing. See
/// docs/DESIGN.md, "Agreement".

namespace cuminfold
{

/// Counts the effects on one entity; a record names the one it relies on.
using generation = std::uint64_t;

/// Names a record: no two records of one fleet have the same.
struct record_id
{
    incarnation writer_;
    /// Grows with each record that this incarnation writes to one stream.
    std::uint64_t sequence_ = 0;

    friend bool operator==(record_id const& a, record_id const& b)
    {
        return a.sequence_ == b.sequence_ && a.writer_ == b.writer_;
    }
    friend bool operator<(record_id const& a, record_id const& b)
    {
        return std::tie(a.writer_, a.sequence_) <
               std::tie(b.writer_, b.sequence_);
    }
};

// ---------------------------------------------------------------- config

/// One file's new text, or its removal, with the revision that it edits.
struct file_edit
{
    file_name file_;
    bool removed_ = false;
    std::string text_;
    /// Offset of the change that last wrote the file; `no_offset`: the file
    /// must not exist.
    log_offset expected_revision_ = no_offset;
};

/// Edits that take effect together or not at all (stream `config`).
struct config_change
{
    std::string author_;
    std::vector<file_edit> edits_;
};

// ----------------------------------------------------------------- fleet

/// Size of a worker VM.
struct vm_shape
{
    std::uint32_t cores_ = 0;
    std::uint32_t memory_mb_ = 0;
    std::uint32_t accelerators_ = 0;
    /// Requests and tasks that it runs at once.
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;

    friend bool operator==(vm_shape const& a, vm_shape const& b)
    {
        return a.cores_ == b.cores_ && a.memory_mb_ == b.memory_mb_ &&
               a.accelerators_ == b.accelerators_ && a.slots_ == b.slots_ &&
               a.connections_ == b.connections_;
    }
};

/// A gateway's incarnation begins; it dispatches only after it has read this
/// record back. It replaces an earlier incarnation of the same node.
struct gateway_registered
{
    data_centre_name data_centre_;
    /// Where other gateways forward to, `IP:PORT`.
    std::string address_;
};

/// A gateway's incarnation is over: by its own word after it has finished
/// everything, or because its VM is gone from the platform's list.
struct gateway_left
{
    incarnation gateway_;
    bool self_reported_ = false;
};

/// A worker VM is known from now on; it is in no pool yet.
struct vm_added
{
    vm_id vm_;
    std::string address_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
};

/// The platform no longer lists the VM; its pool has lost it.
struct vm_removed
{
    vm_id vm_;
    generation expected_ = 0;
};

/// Assigns a VM that is in no pool.
struct vm_assigned
{
    vm_id vm_;
    generation expected_ = 0;
    pool_name pool_;
    std::string cause_;
};

/// First step of a move: the VM takes no new work. It stays in its pool until
/// `move_assigned`.
struct move_released
{
    vm_id vm_;
    generation expected_ = 0;
    pool_name to_;
    std::string cause_;
};

/// Last step of a move; folds only if every gateway of the data centre that
/// was registered before the release has acknowledged it.
struct move_assigned
{
    vm_id vm_;
    generation expected_ = 0;
};

/// Takes a release back: the VM serves its old pool again.
struct move_cancelled
{
    vm_id vm_;
    generation expected_ = 0;
};

/// A gateway holds no request on the VM and has stopped dispatching to it.
struct vm_acknowledged
{
    vm_id vm_;
    /// The VM's generation at its release or at the start of its drain.
    generation released_ = 0;
};

/// Permission to drain a VM; folds only within the pool's budget.
struct drain_granted
{
    vm_id vm_;
    generation expected_ = 0;
    wave_name wave_;
};

/// The drain starts: no new work.
struct drain_started
{
    vm_id vm_;
    generation expected_ = 0;
};

/// A grant that has not started is given back, or a started drain is undone.
struct drain_withdrawn
{
    vm_id vm_;
    generation expected_ = 0;
    reason cause_ = reason::grant_withdrawn;
};

/// The VM may be rebooted; folds only after all acknowledgements and when no
/// task is on it. The record's id is the token of the platform call.
struct reboot_decided
{
    vm_id vm_;
    generation expected_ = 0;
    /// Number of the start that ends here; 0: not known, the VM was down.
    std::uint64_t boot_ = 0;
};

/// The VM is back, was probed and serves its pool again.
struct vm_returned
{
    vm_id vm_;
    generation expected_ = 0;
};

/// The VM was found down or up again, outside any drain.
struct vm_health
{
    vm_id vm_;
    generation expected_ = 0;
    bool up_ = false;
};

/// A data centre is not heard (its VMs count as down for budgets), or is again.
struct data_centre_heard
{
    data_centre_name data_centre_;
    bool heard_ = false;
};

/// A wave stops, because VMs did not return healthy or an operator said so.
struct wave_stopped
{
    wave_name wave_;
    reason cause_ = reason::wave_stopped;
};

/// What a job asks for.
struct job_request
{
    service_name service_;
    team_name team_;
    bool idempotent_ = false;
    bool urgent_ = false;
    /// The run time that the caller declares; a first guess only.
    duration declared_run_time_{0};
    std::uint32_t cores_ = 1;
    std::uint32_t memory_mb_ = 0;
    std::uint32_t accelerators_ = 0;
    std::string body_;
};

/// A job is accepted; from here on it ends in exactly one `job_end`.
struct job_submitted
{
    job_id job_;
    job_request request_;
    /// Data centre whose controllers place it.
    data_centre_name home_;
};

/// An attempt of a job is leased to a VM. The task is sent after this record
/// was read back.
struct job_placed
{
    job_id job_;
    generation expected_ = 0;
    std::uint32_t attempt_ = 0;
    vm_id vm_;
    generation vm_generation_ = 0;
    duration lease_{0};
};

/// The attempt saved its progress; `stopped_`: and is known not to run.
struct job_checkpointed
{
    job_id job_;
    std::uint32_t attempt_ = 0;
    std::string checkpoint_;
    bool stopped_ = false;
};

/// How an attempt ended.
enum class attempt_end
{
    finished,
    failed,
    not_started, ///< the worker said that it did not run
    cancelled,
    unknown ///< nobody saw the end
};

/// An attempt ended.
struct attempt_ended
{
    job_id job_;
    std::uint32_t attempt_ = 0;
    attempt_end end_ = attempt_end::unknown;
    std::string detail_;
};

/// The job ends without a further attempt (infeasible, quarantined).
struct job_closed
{
    job_id job_;
    generation expected_ = 0;
    reason cause_ = reason::job_infeasible;
};

/// The caller no longer wants the jobs.
struct jobs_cancelled
{
    std::vector<job_id> jobs_;
};

/// Ended jobs whose last record is at or before that offset are forgotten.
struct jobs_forgotten
{
    log_offset up_to_ = 0;
};

// ---------------------------------------------------------------- claims

/// A gateway claims a key (stream `claims-<k>`); of two claims the first in
/// the stream holds. Only the gateway that wrote the record may dispatch.
struct claim_opened
{
    claim_key key_;
    std::uint64_t body_digest_ = 0;
    request_id request_;
};

/// The claiming gateway gave up before it dispatched, and never will.
struct claim_abandoned
{
    claim_key key_;
};

/// The answer came; a short one is kept for repeats.
struct claim_answered
{
    claim_key key_;
    std::uint32_t status_ = 0;
    std::string content_type_;
    bool kept_ = false;
    std::string answer_;
};

/// The run's outcome is not known: by the claiming gateway's own word, or
/// because that gateway is gone.
struct claim_unknown
{
    claim_key key_;
    incarnation gateway_;
    reason cause_ = reason::claimant_lost;
};

/// Claims opened at or before that offset are forgotten.
struct claims_forgotten
{
    log_offset up_to_ = 0;
};

// ------------------------------------------------------------- snapshots

/// One chunk of a snapshot (stream `<stream>-snapshots`).
struct snapshot_chunk
{
    stream_name stream_;
    /// The snapshot holds the effects of all entries before this offset.
    log_offset next_ = 0;
    std::uint32_t index_ = 0;
    std::uint32_t count_ = 0;
    /// Digest of the whole encoded state.
    std::uint64_t digest_ = 0;
    std::string bytes_;
};

/// A record of a kind or version that this program does not know.
struct unknown_body
{
    std::string kind_;
    std::uint32_t version_ = 0;
};

using record_body =
    std::variant<config_change, gateway_registered, gateway_left, vm_added,
                 vm_removed, vm_assigned, move_released, move_assigned,
                 move_cancelled, vm_acknowledged, drain_granted, drain_started,
                 drain_withdrawn, reboot_decided, vm_returned, vm_health,
                 data_centre_heard, wave_stopped, job_submitted, job_placed,
                 job_checkpointed, attempt_ended, job_closed, jobs_cancelled,
                 jobs_forgotten, claim_opened, claim_abandoned, claim_answered,
                 claim_unknown, claims_forgotten, snapshot_chunk, unknown_body>;

/// The version that this program writes.
inline constexpr std::uint32_t record_version = 1;

/// One proposal.
struct record
{
    record_id id_;
    std::uint32_t version_ = record_version;
    /// The config offset that the writer judged by; `no_offset`: none.
    log_offset config_offset_ = no_offset;
    record_body body_;
};

/// One entry of a stream: the records that one append carried.
struct log_entry
{
    log_offset offset_ = 0;
    std::vector<record> records_;
};

} // namespace cuminfold

#endif
