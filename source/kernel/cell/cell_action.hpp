#ifndef CUMINFOLD_KERNEL_CELL_CELL_ACTION_HPP
#define CUMINFOLD_KERNEL_CELL_CELL_ACTION_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/ticket_cache.hpp"
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

/// What became of a client's request.
enum class answer_kind : std::uint8_t
{
    accepted, ///< the job is stored, or its cancelling is
    status,   ///< the job's standing
    pending,  ///< the number of the queue's jobs that have not begun
    no_such_job,
    no_such_queue,
    invalid, ///< the job cannot be read
    too_large,
    overloaded,  ///< not run; come back later
    unavailable, ///< not run; the system cannot know or store now
    unknown      ///< it may or may not have been stored
};

/// The answer to one client's request.
struct client_answer
{
    answer_kind kind_ = answer_kind::unavailable;
    job_status status_ = job_status::queued;
    std::uint64_t pending_ = 0;
    /// When to come back; 0: not said.
    duration retry_after_{0};
    /// Another owner may answer otherwise, soon.
    bool retry_soon_ = false;
    /// What decided it, for the log.
    std::string cause_;
    /// Version of the configuration that decided it.
    std::uint64_t config_version_ = 0;
};

struct answer_client
{
    std::uint64_t exchange_ = 0;
    client_answer answer_;
};

struct start_run
{
    std::string worker_;
    std::string address_;
    task_id task_;
    std::uint32_t run_ = 0;
    std::shared_ptr<job_definition const> job_;
    worker_clock lease_until_{0};
    std::string checkpoint_;
    /// From the queue's policy service; empty: the queue has none.
    std::string ticket_;
};

struct stop_run
{
    std::string worker_;
    std::string address_;
    task_id task_;
    std::uint32_t run_ = 0;
    /// Why, for the log.
    char const* cause_ = "";
};

/// Renews the leases of all that runs on a worker and asks for its report.
struct renew_worker
{
    std::string worker_;
    std::string address_;
    /// Absent: only asks.
    std::optional<worker_clock> lease_until_;
    std::uint64_t acknowledge_ = 0;
    /// The worker may wait this long for an end.
    duration wait_{0};
    /// Asked beside a renewal that is out.
    bool extra_ = false;
};

/// Asks which of these workers the queue's policy lets run a step.
struct query_advice
{
    step_id step_;
    std::vector<std::string> workers_;
    /// What the service takes for it and for those that wait before it.
    duration answer_time_{0};
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

/// What a record of a cell's partition is about.
enum class record_kind : std::uint8_t
{
    request,  ///< a job as it was handed in
    progress, ///< how far a job is
    vm_order, ///< an order for a VM may be given or on its way
    wave      ///< the VMs that a wave has maintained
};

/// One record of a cell's partition. Without content it ends its key.
struct cell_record
{
    record_kind kind_ = record_kind::progress;
    /// Of a job, a VM or a wave.
    std::string name_;
    std::shared_ptr<job_definition const> request_;
    std::optional<job_progress> progress_;
    std::optional<std::string> text_;
};

/// Records that are appended together, and what may be done after that.
struct cell_batch
{
    std::vector<cell_record> records_;
};

} // namespace cuminfold

#endif
