#ifndef CUMINFOLD_KERNEL_CELL_CELL_ACTION_HPP
#define CUMINFOLD_KERNEL_CELL_CELL_ACTION_HPP

#include "kernel/cell/advice_query.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/worker_state.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminfold
{

/// The result of a client's request.
enum class answer_kind : std::uint8_t
{
    accepted, ///< the job or its cancellation is stored
    status,   ///< the job's status
    pending,  ///< the number of the queue's jobs that have not begun
    no_such_job,
    no_such_queue,
    invalid, ///< the job cannot be parsed
    too_large,
    overloaded,   ///< not accepted for lack of capacity; retry later
    unavailable,  ///< not accepted; the store or the owner is not available
    unknown,      ///< the request may or may not have been stored
    unauthorized, ///< the call has no key that the configuration holds
    forbidden     ///< the job belongs to another workspace
};

/// The answer to one client's request.
struct client_answer
{
    answer_kind kind_ = answer_kind::unavailable;
    job_status status_ = job_status::queued;
    std::uint64_t pending_ = 0;
    /// Time after which the client should retry; 0 if there is no such hint.
    duration retry_after_{0};
    /// The node may repeat the request within the client's time, since another
    /// owner may soon accept it.
    bool retry_soon_ = false;
    /// Why the request got this answer, for the log.
    std::string cause_;
    /// Version of the configuration that the answer is based on.
    std::uint64_t config_version_ = 0;
};

/// Answers a client's request.
struct answer_client
{
    /// The number that the caller of the cell gave the request.
    std::uint64_t exchange_ = 0;
    client_answer answer_;
};

/// Starts a run of a task on a worker.
struct start_run
{
    std::string worker_;
    std::string address_;
    task_id task_;
    std::uint32_t run_ = 0;
    std::shared_ptr<job_definition const> job_;
    worker_clock lease_until_{0};
    std::string checkpoint_;
    /// From the queue's policy service; empty if the queue has none.
    std::string ticket_;
    /// Added to the owner's epoch for the fencing token; so in each order.
    std::uint32_t token_offset_ = 0;
};

/// Stops a run of a task on a worker.
struct stop_run
{
    std::string worker_;
    std::string address_;
    task_id task_;
    std::uint32_t run_ = 0;
    std::uint32_t token_offset_ = 0;
    /// For the log.
    char const* cause_ = "";
};

/// Renews the leases of all runs on a worker and requests its report.
struct renew_worker
{
    std::string worker_;
    std::string address_;
    /// If absent, only the report is requested.
    std::optional<worker_clock> lease_until_;
    /// Ended runs up to this number are recorded and need no further report.
    std::uint64_t acknowledge_ = 0;
    /// How long the worker may delay its answer until a run ends.
    duration wait_{0};
    std::uint32_t token_offset_ = 0;
    /// Sent while a renewal of that worker is in flight.
    bool extra_ = false;
};

/// A decision for the log.
struct log_decision
{
    char const* event_ = "";
    std::string subject_;
    std::string cause_;
};

using cell_action = std::variant<answer_client, start_run, stop_run,
                                 renew_worker, query_advice, log_decision>;

/// The subject of a record in a cell's partition.
enum class record_kind : std::uint8_t
{
    request,  ///< a job as it was submitted
    progress, ///< a job's status and its tasks' runs
    vm_order, ///< a VM's orders, see `vm_order_record`
    wave,     ///< a wave that is completed
    crashes,  ///< a job's `crash_counts`
    starts,   ///< `start_budget::used()` of a job's tasks
    losses,   ///< a job's `lost_runs`
    policy,   ///< a queue's `advice_policy`
    /// The incarnation of a worker on which its stored runs were started.
    incarnation,
    foreign_lease, ///< a worker's `foreign_lease`
    /// The runs of a job's tasks that have begun on the stored incarnations of
    /// their workers, if they last long.
    confirmed_runs
};

/// One record of a cell's partition. A record without content deletes its key.
struct cell_record
{
    record_kind kind_ = record_kind::progress;
    /// Names a job, a VM, a wave or a worker.
    std::string name_;
    std::shared_ptr<job_definition const> request_;
    std::optional<job_progress> progress_;
    std::optional<std::string> text_;
};

/// Records that are appended together.
struct cell_batch
{
    std::vector<cell_record> records_;
};

} // namespace cuminfold

#endif
