#ifndef CUMINFOLD_KERNEL_CELL_CELL_HPP
#define CUMINFOLD_KERNEL_CELL_CELL_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/crash_counts.hpp"
#include "kernel/cell/demand_estimator.hpp"
#include "kernel/cell/fleet_config.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/job_ranking.hpp"
#include "kernel/cell/job_state.hpp"
#include "kernel/cell/lost_runs.hpp"
#include "kernel/cell/placement_rule.hpp"
#include "kernel/cell/pool_plan.hpp"
#include "kernel/cell/run_time_model.hpp"
#include "kernel/cell/step_waits.hpp"
#include "kernel/cell/task_rows.hpp"
#include "kernel/cell/ticket_cache.hpp"
#include "kernel/cell/unplaced_demands.hpp"
#include "kernel/cell/wave_order.hpp"
#include "kernel/cell/worker_state.hpp"
#include "kernel/cell/workspace_accounts.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminfold
{

/// What the ranking of jobs under overload decides.
enum class job_ranking_use : std::uint8_t
{
    /// The order of placement, if the configuration has workspaces. Without the
    /// ranking jobs are placed by deadline.
    with_workspaces,
    placement, ///< the order of placement
    admission  ///< also which jobs are accepted
};

/// Timeouts, intervals and limits of a cell.
struct cell_options
{
    /// Duration of the lease that a renewal grants. The tasks of a worker that
    /// stops answering can be placed elsewhere only after it.
    duration lease_ = std::chrono::milliseconds{3000};
    /// How long a worker may delay its answer to a renewal until a run ends.
    duration renewal_wait_ = std::chrono::milliseconds{1500};
    /// Minimum interval between two renewals of one worker, so that one answer
    /// reports several ended runs.
    duration renewal_interval_ = std::chrono::milliseconds{30};
    /// Limit for all workers together, in renewals per second. With many busy
    /// workers the interval is extended to stay below it. Half a core handles
    /// about this many, including the starts that accompany them.
    std::uint32_t renewal_rate_ = 2000;
    /// A stop that was not acknowledged is sent again after this time.
    duration stop_retry_interval_ = std::chrono::milliseconds{150};
    /// An owner sends no orders once the last confirmation of its epoch is
    /// older than this.
    duration confirmation_limit_ = std::chrono::milliseconds{5000};
    /// The platform's upper bound on a lease; at least `lease_`. An order that
    /// was computed by the clock of another incarnation may get this much.
    duration longest_lease_ = std::chrono::milliseconds{3000};
    /// Time after which a stop has taken effect.
    duration stop_grace_ = std::chrono::milliseconds{600};
    /// A call without an answer may be carried out this long after it was sent.
    duration max_late_call_ = std::chrono::seconds{12};
    /// An idle worker whose clock was read longer ago is queried: the longer
    /// ago, the shorter is the first lease of its next task.
    duration max_clock_age_ = std::chrono::seconds{20};
    /// Time in which a call is carried out that is not late.
    duration max_call_delay_ = std::chrono::milliseconds{500};
    /// A worker's entry may be stored this long after the worker wrote it. The
    /// platform states no bound.
    duration max_entry_delay_ = std::chrono::seconds{3};
    /// If the store takes longer than this for a batch, it counts as
    /// unreachable and no job is accepted.
    duration store_stall_timeout_ = std::chrono::milliseconds{700};
    /// Upper bound of a record in the store, in bytes. A job that needs a
    /// larger one is refused.
    std::size_t max_record_bytes_ = 262'144;
    /// Limit on the `memory_bound()` of all jobs that have not ended, in bytes.
    /// A job beyond it is refused.
    std::uint64_t max_job_memory_ = 134'217'728;
    /// A batch of at least this many bytes gets no further block of a job.
    std::size_t max_batch_bytes_ = 1'048'576;
    /// If the workers' entries were read longer ago than this, nothing is
    /// started, since a worker may have begun to drain in the meantime.
    duration max_entries_age_ = std::chrono::milliseconds{1500};
    /// If the owner's events wait longer than this in its queue, the owner has
    /// no processor time for more jobs and refuses them.
    duration max_event_delay_ = std::chrono::milliseconds{300};
    /// A job whose client waits for less than this is refused, since it cannot
    /// be stored in less time.
    duration min_client_time_ = std::chrono::milliseconds{50};
    job_ranking_use job_ranking_ = job_ranking_use::with_workspaces;
    /// How long an ended job can still be queried.
    duration ended_job_retention_ = std::chrono::seconds{130};
    /// A run that makes no progress for this share of its expected run time,
    /// and at least for `min_stall_timeout_`, is stopped and its task is placed
    /// elsewhere.
    double stall_timeout_share_ = 0.3;
    duration min_stall_timeout_ = std::chrono::milliseconds{2200};
};

/// Upper bound of the bytes of a job's record in the store.
std::size_t record_size_bound(job_definition const& job);

/// The only writer of one partition. It places the jobs of its pools on their
/// workers.
///
/// It has no clock, socket or thread: the caller passes the time in, and the
/// cell returns the calls to make as actions. It sends a worker an order only
/// after the record that the order follows from was stored, so that the next
/// owner knows every run that may exist.
class cell
{
public:
    /// @param now the time of the takeover
    cell(cell_options options, time_point now);

    /// @name Recovery
    /// Called before the first `tick()`: for each stored request, then for each
    /// stored progress, and at the end, after `set_config()`,
    /// `finish_restore()`.
    /// @{
    void restore(job_definition request, time_point now);
    /// @param name of the record, as `block_name()` makes it; the first block
    /// of a job comes before the others
    /// @throws std::invalid_argument if it is no such name
    void restore_progress(std::string const& name, job_progress const& progress,
                          time_point now);
    /// Restores the crashes under a job's tasks; called after its progress.
    /// @param text as `encode(crash_counts)` wrote it
    /// @throws std::invalid_argument if name or text is not readable
    void restore_crash_counts(std::string const& name, std::string const& text,
                              time_point now);
    /// The same for the starts that count under a job's tasks.
    /// @param text as `encode(task_numbers)` wrote it
    void restore_start_counts(std::string const& name, std::string const& text);
    /// @param text as `encode(task_numbers)` wrote it
    void restore_confirmed_runs(std::string const& name,
                                std::string const& text);
    /// Restores the policy of a queue that has jobs.
    /// @param text as `encode(advice_policy)` wrote it
    /// @throws std::invalid_argument if the text is not readable
    void restore_policy(std::string const& queue, std::string const& text);
    /// The same for the runs of which it is not known whether they were lost;
    /// called after both counts.
    /// @param text as `encode(lost_runs)` wrote it
    void restore_lost_runs(std::string const& name, std::string const& text,
                           time_point now);
    /// Restores on which incarnation of a worker its stored runs were started;
    /// called after the progress of all jobs.
    /// @param start as the record of kind `incarnation` holds it
    /// @throws std::invalid_argument if the text is not readable
    void restore_incarnation(std::string const& worker,
                             std::string const& start, time_point now);
    /// Restores by when a worker's runs may end that got a lease by another
    /// clock; called after `restore_incarnation()`.
    /// @param text as `encode(foreign_lease)` wrote it
    /// @throws std::invalid_argument if the text is not readable
    void restore_foreign_lease(std::string const& worker,
                               std::string const& text, time_point now);
    /// Discards progress without a request and computes the objectives of the
    /// open jobs, counted from `now`.
    void finish_restore(time_point now);
    /// @}

    /// The store accepted this owner's epoch.
    /// @param sent when the request to the store was sent
    void on_epoch_confirmed(time_point sent);

    void set_config(fleet_config const& config);

    /// Sets how long an event of this owner waits in its queue at present.
    void set_event_delay(duration delay);

    /// @name Workers
    /// @{
    /// All workers' entries were read; they are complete up to `at`.
    void on_entries_read(time_point at);
    void on_worker_listed(worker_registration entry, time_point now);
    /// The worker has written its entry again, without a change.
    /// @param stored_after the store did not have the record at that time
    void on_entry_repeated(std::string const& worker,
                           calendar_time incarnation_start,
                           time_point stored_after);
    /// The platform has listed all VMs.
    /// @param asked when the list was requested
    void on_vms_listed(std::map<vm_id, listed_vm> const& vms, time_point asked);
    /// The platform lists that worker as the present incarnation on a VM. Older
    /// incarnations on that VM are treated as ended.
    /// @param asked when the list was requested
    void on_vm_listed(vm_id const& vm, std::string const& worker,
                      time_point asked, time_point now);
    void on_worker_unlisted(std::string const& worker, time_point now);
    /// @param sent when the order was sent
    void on_start_response(start_run const& order, order_answer const& answer,
                           time_point sent, time_point now);
    /// @param sent when the order was sent
    void on_stop_response(stop_run const& order, order_answer const& answer,
                          time_point sent, time_point now);
    /// @param report is read only if the outcome is `accepted`
    /// @param sent when the request was sent
    void on_renewal_response(renew_worker const& order, call_outcome outcome,
                             worker_report const& report, time_point sent,
                             time_point now);
    /// @param sent when the request was sent
    void on_advice_response(query_advice const& query,
                            advice_result const& result, time_point sent,
                            time_point now);
    /// @}

    /// @name Clients
    /// Each request is answered once, by an `answer_client` action with the
    /// same `exchange`.
    /// @{
    /// Accepts or refuses a job. Acceptance is answered once the job is stored.
    /// @param time_left how long the client waits for the answer
    void submit(std::uint64_t exchange, queue_route const& route,
                job_definition request, duration time_left, time_point now);
    /// Answers with a job's stored status.
    void query(std::uint64_t exchange, job_id const& job,
               job_caller const& from = {});
    /// Cancels a job. The answer is sent once the cancellation is stored.
    void cancel(std::uint64_t exchange, job_id const& job, time_point now,
                job_caller const& from = {});
    /// Answers with the number of the queue's stored jobs that have not begun.
    void count(std::uint64_t exchange, queue_route const& route);
    /// @}

    /// Runs the placement, renewals and periodic checks whose time has come.
    /// @param calendar decides which occurrences of a job may begin
    void tick(time_point now, calendar_time calendar);

    /// Returns the records to append next. Returns none if there are no new
    /// records or the previous batch is still in flight.
    std::optional<cell_batch> next_batch(time_point now);
    /// The batch in flight was stored.
    void on_batch_stored(time_point now);

    /// The store will never accept a record of that name. Its job fails, so
    /// that it is stored how the job ended.
    void on_record_rejected(std::string const& name, time_point now);

    /// Returns and clears the pending actions.
    std::vector<cell_action> take_actions();

    /// Adds a record to the next batch.
    /// @return the record's number, for `is_stored()`
    std::uint64_t append_record(cell_record record);
    /// Whether the record with that number was stored.
    bool is_stored(std::uint64_t number) const;

    /// Excludes a VM's workers from placement, since an order to it follows.
    void reserve(vm_id const& vm);
    /// The order to a reserved VM is sent: from now on its workers may end
    /// because of it.
    void on_vm_order_sent(vm_id const& vm, time_point now);
    /// The platform rejected the order without effect, and no earlier one may
    /// be carried out.
    void on_vm_order_rejected(vm_id const& vm);
    /// Includes them again. If an order was sent, the workers that were there
    /// before have to answer first, since it may have ended them.
    void end_reservation(vm_id const& vm, time_point now);
    /// Number of tasks assigned to the VM's workers, in any phase, and of
    /// orphaned runs there.
    std::size_t tasks_on(vm_id const& vm) const;
    std::size_t long_running_tasks_on(vm_id const& vm) const;
    /// Whether the long-running tasks on the VM can leave it: their steps allow
    /// it, and other workers will have room for them.
    bool can_be_emptied(vm_id const& vm, time_point now);
    /// Reserved VMs with room that steps have been waiting for, since no other
    /// worker of their pool will have any.
    /// @param releasable the VMs to choose from
    std::set<vm_id> contended_vms(std::set<vm_id> const& releasable,
                                  time_point now);
    /// Whether the store has an entry of a worker on that VM.
    bool has_registered_worker(vm_id const& vm) const;
    /// Whether a worker of that VM was first seen after `since`.
    bool has_new_incarnation(vm_id const& vm, time_point since) const;

    std::map<std::string, worker_state> const& workers() const noexcept
    {
        return workers_;
    }
    std::unordered_map<std::string, job_state> const& jobs() const noexcept
    {
        return jobs_;
    }
    /// The sum of the jobs' `memory_bound()`, in bytes, and its limit.
    std::uint64_t job_memory() const noexcept
    {
        return job_memory_;
    }
    /// What each workspace has running; empty without workspaces.
    workspace_accounts const& accounts() const noexcept
    {
        return accounts_;
    }
    std::uint64_t max_job_memory() const noexcept
    {
        return options_.max_job_memory_;
    }
    fleet_config const& config() const noexcept
    {
        return config_;
    }

    /// Stops long-running tasks on a VM so that they are placed elsewhere, as
    /// far as `max_unavailable_` of their steps allows.
    void evacuate(vm_id const& vm, time_point now);

    /// Returns the capacity and the load of each configured pool. VMs that are
    /// moving to a pool are not included.
    std::vector<pool_load> loads(time_point now) const;
    /// Sets the number of VMs that are moving to each pool. Admission counts
    /// them as capacity.
    void set_incoming(std::map<pool_name, std::uint32_t> incoming);

private:
    /// What follows once the batch in flight is stored.
    struct batch_effects
    {
        /// Runs to start, each a task and its run number.
        std::vector<std::pair<task_id, std::uint32_t>> starts_;
        /// Jobs whose first blocks the batch holds, and their status there.
        std::vector<std::pair<job_id, job_status>> jobs_;
        /// By worker: the number of the last ended run that is recorded and
        /// can be acknowledged.
        std::map<std::string, std::uint64_t> ends_;
        std::uint64_t last_record_number_ = 0;
    };

    /// The work that a job still needs, in worker-seconds.
    struct remaining_work
    {
        double all_ = 0;
        /// Of steps whose predecessors are done.
        double ready_ = 0;
        /// Of the tasks of these steps that are not placed.
        double waiting_ = 0;
    };

    /// The latest ranking of a pool.
    struct pool_ranking
    {
        time_point ranked_at_{};
        /// Whether some job is not selected.
        bool overloaded_ = false;
        /// Whether some job is deferred.
        bool has_deferred_ = false;
        /// If overloaded, the pool's jobs by id; times count from `ranked_at_`.
        std::unordered_map<std::string, std::pair<job_rank, ranked_job>> jobs_;
    };

    /// The workers of a pool: those that take tasks, the same without their
    /// finite tasks, and those of reserved VMs.
    struct pool_room
    {
        std::vector<worker_state const*> present_;
        /// By the position in `present_`; made when first needed.
        std::vector<std::optional<worker_state>> later_;
        std::vector<worker_state const*> reserved_;
    };

    /// A task with the job and step that hold it; all null if the task does
    /// not exist.
    struct task_location
    {
        job_state* job_ = nullptr;
        step_state* step_ = nullptr;
        job_step const* shape_ = nullptr;
        task_state* task_ = nullptr;

        explicit operator bool() const noexcept
        {
            return task_ != nullptr;
        }
    };

    /// Whether the job will miss its objective, whatever is placed now.
    bool is_late(job_state const& job, time_point now) const;
    /// The minimum time until the job ends: the critical path of its remaining
    /// steps.
    duration remaining_critical_path(job_state const& job) const;
    /// Whether all steps that this one depends on are done.
    static bool is_ready(job_step const& shape,
                         occurrence_state const& occurrence);

    // cell_clients.cpp
    client_answer make_answer(answer_kind kind, char const* cause) const;
    client_answer refuse_other_workspace() const;
    void reply(std::uint64_t exchange, client_answer answer);
    /// Adds a `log_decision` action.
    void log_event(char const* event, std::string subject, std::string cause);
    /// Whether the pool can meet the job's objective, and those of accepted
    /// jobs with it.
    /// @param objective from now
    /// @param beyond_share the job gives way to those within their share
    /// @param[out] refusal cause and retry time, if the result is false
    bool admit(queue_route const& route, job_definition const& request,
               duration objective, bool beyond_share, time_point now,
               client_answer& refusal) const;
    /// @param worker the size of the workers that the work is counted in
    remaining_work remaining_work_of(job_state const& job,
                                     resource_amount const& worker) const;
    /// Whether a call may use a job. A job of no workspace is open to all, and
    /// a call without a key may use the jobs of the public queue that it names.
    static bool may_access(job_state const& job, job_caller const& from);
    /// Whether the workspace's limit allows the job, now or ever.
    /// @param objective from now
    /// @param[out] refusal the answer, if the result is false
    bool is_within_limit(workspace_account const& account,
                         job_definition const& request, duration objective,
                         time_point now, client_answer& refusal) const;
    /// Size of one of the pool's workers; of any worker if the pool has none.
    resource_amount typical_worker(pool_name const& pool) const;
    /// How long the client has waited so far. It is estimated as the difference
    /// to the longest wait that a client of the queue has declared.
    duration time_already_waited(queue_route const& route, duration time_left);
    /// Whether the batch in flight exceeds `store_stall_timeout_`.
    bool store_stalled(time_point now) const;
    /// While the store is stalled, removes jobs that no batch holds yet and
    /// refuses them.
    void withdraw_unwritten_jobs(time_point now);
    void release_all(job_state& job, time_point now);
    std::uint64_t count_pending(std::string const& route) const;

    // cell_records.cpp
    void remove_ended_from_open();
    /// Adds the job's status to the next batch.
    void mark_dirty(job_state& job);
    /// Adds the progress of the task's block to the next batch.
    void mark_dirty(job_state& job, task_id const& task);
    void mark_dirty(job_state& job, block_number block);
    /// The state of a task that exists.
    static task_state const& task_of(job_state const& job, task_id const& task);
    job_progress progress_of(job_state const& job, block_number block) const;
    /// Adds the records of a job's block to a batch.
    void append_block(std::string const& name, block_number block,
                      cell_batch& batch, batch_effects& effects);
    /// Deletes the records of an ended job, except that of its status.
    void append_deletions(std::string const& name, job_state& job,
                          cell_batch& batch);
    void restore_block(job_id const& id, block_number block,
                       job_progress const& progress, time_point now);
    void restore_task(job_id const& id, job_state& job,
                      task_record const& record, time_point now);
    /// Starts a run whose record was stored, unless its worker became unusable
    /// or too small in the meantime.
    void send_start(task_id const& task, std::uint32_t run, time_point now);
    /// Answers the clients whose submission or cancellation was stored.
    void answer_waiting_clients(job_state& job);
    /// Removes jobs that ended longer ago than `ended_job_retention_`.
    void remove_ended_jobs(time_point now);
    /// Releases the tasks of a job that has ended and has none on a worker.
    void release_memory(job_state& job);
    /// Releases the tasks of the largest jobs until there is room for that one,
    /// which may be the largest. These jobs fail at the end of the restore.
    void make_room(job_state& job);
    /// The jobs with a task on a worker.
    std::set<std::string> jobs_on_workers() const;
    void initialize_job(job_state& job, time_point now);
    /// Adds the occurrences of a recurring job whose time has come.
    void add_due_occurrences(job_state& job, calendar_time calendar);
    void add_occurrence(job_state& job);

    // cell_tasks.cpp
    /// A run of the task has ended as done. The members of a gang end together,
    /// so that one end completes them all.
    void complete_run(task_id const& task, task_location const& at,
                      time_point now);
    /// Completes the gangs of which a member is stored as done, and restores
    /// which failed runs of gangs were counted.
    void restore_gangs(job_state& job, time_point now);
    /// Computes whether all tasks of the occurrence are done.
    static void update_done(occurrence_state& occurrence);
    /// Ends the job if all its occurrences are done.
    void complete_if_done(job_state& job, time_point now);
    task_location find(task_id const& task);
    /// Returns the worker's state, and adds it if it is unknown.
    worker_state& ensure_worker(std::string const& worker, time_point now);
    /// Assigns the task to the worker and reserves its resources there.
    void occupy(task_id const& task, task_location const& at,
                std::string const& worker);
    /// Undoes `occupy()`; the task waits for placement again.
    void release(task_id const& task, task_location const& at, time_point now);
    /// Marks the task as done, and the job as completed if it was the last.
    void finish(task_id const& task, task_location const& at, time_point now);
    void fail_job(job_state& job, std::string const& cause, time_point now);
    /// Handles an ended run that the worker reported.
    void handle_end(worker_state& worker, end_report const& end,
                    time_point now);
    /// Handles a failed run; fails the job once its attempts are used up.
    void handle_failure(worker_state& worker, task_id const& task,
                        task_location const& at, time_point now);
    std::uint32_t max_attempts_of(job_state const& job) const;
    /// Counts a failed run of the task, or of its gang: members that fail in
    /// one run count once.
    static void count_failure(task_location const& at);
    /// The number of the gang's runs that have failed.
    static std::uint32_t failures_of_gang(step_state const& gang);
    /// Concludes from a gang's stored tasks which run was counted last.
    static void restore_failed_run(step_state& gang);
    /// Counts a consecutive failure of the worker. Placement avoids it for a
    /// while after several of them.
    void record_failure(worker_state& worker, time_point now);

    // cell_workers.cpp
    /// Checks all jobs, tasks and workers for timeouts and pending work.
    void run_periodic_checks(time_point now, calendar_time calendar);
    /// Whether the epoch was confirmed recently enough to send orders.
    bool can_send_orders(time_point now) const;
    /// Whether orders can be sent and the workers' entries are recent enough to
    /// show which workers drain.
    bool can_start(time_point now) const;
    /// Counts a call that the worker did not answer.
    void count_unanswered(worker_state& worker, time_point now);
    /// Compares the clock that an answer to an order states with that of the
    /// incarnation that is known. If it is behind, another incarnation has
    /// answered, so that the worker is queried.
    /// @param call the order's kind, for the log
    /// @param sent when the order was sent
    /// @return whether the incarnation's leases end when the owner counts on it
    bool check_clock(worker_state& worker, char const* call,
                     std::uint32_t token_offset, order_answer const& answer,
                     time_point sent, time_point now);
    /// How many of the worker's tasks were sent there and are not confirmed.
    std::size_t count_unconfirmed(worker_state const& worker);
    /// Takes the clock of an answer over unless a later one is known.
    static void read_clock(worker_state& worker, worker_clock clock,
                           time_point now);
    /// Releases all tasks of a worker on which no run of this cell can exist
    /// any more.
    /// @param kept tasks that stay
    void release_all(worker_state& worker, time_point now,
                     std::set<task_id> const& kept = {});
    void end_incarnation(worker_state& worker, char const* cause,
                         time_point now);
    /// Ends the incarnations that were on the worker's VM before: a VM runs one
    /// at a time, and this one answers.
    void end_earlier_incarnations(worker_state const& worker, time_point now);
    /// Whether nothing is lost with an unlisted worker that has no tasks.
    bool may_be_forgotten(worker_state const& worker, time_point now) const;
    /// Removes a worker from `workers_` and its index.
    std::map<std::string, worker_state>::iterator
    erase_worker(std::map<std::string, worker_state>::iterator position);
    /// Names of the workers whose entries name that VM.
    std::vector<std::string> const& workers_on(vm_id const& vm) const;
    /// Whether the worker counts as capacity for new jobs.
    bool is_usable(worker_state const& worker, time_point now) const;

    // cell_incarnations.cpp
    /// Compares a worker's new registration with the incarnation that is known.
    void note_incarnation(worker_state& worker,
                          worker_registration const& entry, time_point now);
    /// Another incarnation may run under the worker's id. The answer to the
    /// next renewal decides; until then the worker gets no starts.
    /// @param cause what the owner learned it from, for the log
    void query_incarnation(worker_state& worker, char const* cause,
                           time_point now);
    /// Discards what is known of the worker's previous incarnation, whose runs
    /// have ended with it.
    /// @param report the first one of the new incarnation
    void begin_incarnation(worker_state& worker, worker_report const& report,
                           time_point now);
    /// Leaves it to the next report which of the worker's tasks run there.
    void unsettle_tasks(worker_state& worker, time_point now);
    /// Deletes a record of an earlier owner.
    void delete_record(record_kind kind, std::string const& name);
    /// Ends that the worker reported are not acknowledged once they are
    /// recorded.
    void forget_reported_ends(std::string const& worker);
    /// Adds the worker's incarnation to the next batch, or deletes it there if
    /// it is unknown.
    void store_incarnation(worker_state& worker);
    /// Until when an order may arrive that was computed by the clock of an
    /// earlier incarnation, unless the worker's present one has answered.
    time_point foreign_orders_end(worker_state const& worker) const;
    /// The task's present run has begun on the incarnation that is known.
    void confirm_run(task_id const& task, task_location const& at);
    /// Whether it is stored that the task's run is confirmed: else a new owner
    /// would hold it back for long after its worker is cut off. Shorter runs
    /// end before that matters.
    bool stores_confirmation(task_location const& at) const;
    /// The confirmed runs of the block's tasks, as far as they are stored.
    task_numbers confirmed_runs_of(job_state const& job, block_number block);
    /// Whether the task's run may have begun, or begin yet, on an incarnation
    /// of its worker that the owner does not know.
    bool may_run_unseen(task_state const& task,
                        worker_state const& worker) const;
    /// The tasks of a silent worker whose runs may outlast the leases that the
    /// owner granted: another incarnation may have begun them by orders that
    /// were computed for the known one. None once such runs must have ended.
    std::set<task_id> tasks_to_keep(worker_state const& worker, time_point now);
    /// Adds the worker's `foreign_lease_until_` to the next batch, or deletes
    /// it there if there is none.
    void store_foreign_lease(worker_state& worker);
    /// Forgets a lease by another clock that has ended.
    void drop_foreign_lease(worker_state& worker, time_point now);

    // cell_renewals.cpp
    /// Computes the end of a new lease on the worker's clock, and extends
    /// `lease_expires_at_` to cover it.
    worker_clock lease_for(worker_state& worker, time_point now);
    /// How long a lease may last that the worker's incarnation had when it last
    /// answered.
    duration longest_remaining_lease(worker_state const& worker) const;
    /// For logs, in milliseconds.
    /// @param at unset: never
    static std::string describe_age(time_point at, time_point now);
    /// The worker's lease for logs: clock and end of the lease on the worker's
    /// clock, the rest in milliseconds.
    static std::string describe_lease(worker_state const& worker,
                                      time_point now);
    /// By when a lease has ended that the platform granted at that time,
    /// whatever was requested.
    time_point longest_lease_end(time_point granted) const;
    /// By when all runs of a worker have ended if it doesn't answer again. An
    /// answer after the computed end of its lease shows that runs may have
    /// outlasted it.
    time_point runs_end_by(worker_state const& worker) const;
    /// Compares the runs that a worker reports with the tasks assigned to it.
    /// @param lists_all_ends whether the report leaves no end out
    /// @param asked when the report was requested
    void reconcile(worker_state& worker, worker_report const& report,
                   bool lists_all_ends, time_point asked, time_point now);
    /// Keeps the tasks of the worker's orphaned runs from being started until
    /// these have ended.
    void hold_orphaned_tasks(worker_state const& worker);
    /// Computes until when orphaned runs of a task may last, on any worker.
    void update_orphan_end(task_id const& task);
    /// Removes the orphaned runs that the worker has no more.
    /// @param previous those that were known before the report
    void reconcile_orphans(worker_state& worker,
                           std::map<task_id, orphaned_run> const& previous,
                           bool lists_all_ends, time_point now);
    /// @param report null if the worker does not run the task
    void reconcile_task(worker_state& worker, task_id const& task,
                        running_report const* report, bool lists_all_ends,
                        time_point asked, time_point now);
    /// Whether a run that is missing from a report has ended without an end
    /// that is still to be read.
    /// @param[in,out] missing_since as in `task_state`
    static bool is_gone(worker_state const& worker, time_point& missing_since,
                        bool lists_all_ends, time_point now);
    /// Whether the next report may decide which of the worker's runs there are.
    bool has_unsettled_runs(worker_state const& worker);
    /// Whether a task that its worker reports as running is to count as
    /// running from now on.
    bool must_adopt(task_location const& at, worker_state const& worker,
                    time_point now) const;
    void adopt(task_state& task, time_point now);
    void send_due_renewals(time_point now);
    /// Computes the interval between two renewals of one worker from the number
    /// of busy workers.
    duration renewal_interval() const;
    /// Sends an extra request to workers with an overdue run whose renewal is
    /// still in flight.
    void query_overdue_workers(time_point now);
    bool is_overdue(task_id const& task, time_point now);
    bool needs_renewal(worker_state const& worker, time_point now) const;

    // cell_stops.cpp
    void send_stop(worker_state& worker, task_id const& task, std::uint32_t run,
                   char const* cause);
    /// Sends the stops that are new or were not acknowledged in time.
    void repeat_stops(time_point now);
    /// Releases the tasks of a worker whose lease lapsed without an answer,
    /// except those that its next incarnation may run.
    void drop_lapsed_tasks(worker_state& worker, time_point now);
    /// Releases the tasks of workers whose leases lapsed without an answer, and
    /// removes workers that are gone.
    void drop_lapsed_workers(time_point now);
    /// Number of the other tasks of that step that are not available.
    std::uint32_t count_unavailable_others(task_location const& at,
                                           time_point now) const;
    /// How many tasks of a step may be unavailable; at least 1.
    static std::uint32_t max_unavailable(job_step const& shape);
    /// Whether a long-running task may be ended: fewer others of its step than
    /// `max_unavailable_` are unavailable.
    bool may_end(task_location const& at, time_point now) const;
    /// Whether a stop of a task that was decided earlier may be sent now, since
    /// other tasks of its step may have become unavailable in the meantime.
    /// @param worker that of the task
    bool may_be_evacuated(task_location const& at, worker_state const& worker,
                          time_point now) const;
    /// Whether an unanswered start may be settled by a stop. If the start is
    /// carried out late, the stop ends the run, so that it counts like other
    /// stops until the worker refuses the start because it has expired.
    /// @param worker that of the task
    bool may_settle(task_location const& at, worker_state const& worker,
                    time_point now) const;
    /// Whether a stop of a task of that step, on a worker that doesn't drain,
    /// may still be carried out. It was sent within `max_unavailable_`, so that
    /// no other task may be ended beyond that limit until then.
    bool has_pending_stop(task_location const& at) const;
    /// @param all ignores `max_unavailable_`, unless a stop is pending
    void evacuate(worker_state& worker, bool all, time_point now);
    void evacuate_draining_workers(time_point now);
    /// Whether a long-running task does its work at present.
    bool is_available(task_state const& task, time_point now) const;
    void stop_stalled(time_point now);

    // cell_reservations.cpp
    /// The worker as it will be once its finite tasks have ended.
    worker_state without_finite_tasks(worker_state const& worker);
    /// Whether a long-running task is available, or will be soon if it only
    /// restarts.
    bool will_be_available(task_state const& task, time_point now) const;
    /// Whether a worker of another VM will have room for a long-running task.
    bool has_room_elsewhere(task_location const& at, vm_id const& vm,
                            time_point now);
    /// The steps that may begin and have tasks that wait for a worker.
    static std::vector<step_id> waiting_steps(job_state const& job);
    /// Whether only a worker is missing for some task of the step.
    static bool has_due_task(step_state const& step, bool long_running,
                             time_point now);
    /// How many tasks of the step the worker can take, reserved or not, at most
    /// `limit`.
    std::uint32_t slots_of(worker_state const& worker, job_step const& shape,
                           step_state const& step, std::uint32_t limit,
                           time_point now) const;
    /// Adds the reserved VMs that a step has been waiting for.
    void find_contended(step_id const& id, job_state const& job,
                        pool_room& room, std::set<vm_id>& contended,
                        time_point now);

    // cell_crashes.cpp
    /// Logs a run that ends without a report, since its worker is lost.
    void log_loss(task_id const& task, task_location const& at,
                  worker_state const& worker);
    /// Remembers which tasks may have crashed a worker whose lease lapsed.
    /// @param kept tasks that stay, so that their runs are not lost so far
    void record_loss(worker_state& worker, std::set<task_id> const& kept,
                     time_point now);
    /// The worker's losses were no crashes, or it will not be known.
    void forget_losses(worker_state& worker);
    /// The worker's incarnation has ended: counts a crash for each task that
    /// may have caused it, unless the end was ordered or announced.
    /// @param can_be_proof the end was seen, and not only concluded
    /// @param survivors lists the runs that began on the next incarnation
    /// @param kept as in `record_loss()`
    void count_crash(worker_state& worker, bool can_be_proof, time_point now,
                     worker_report const& survivors = {},
                     std::set<task_id> const& kept = {});
    /// The worker's runs that may have crashed it at that time, by task.
    /// @param kept as in `record_loss()`
    std::map<task_id, std::uint32_t> suspects_of(worker_state const& worker,
                                                 std::set<task_id> const& kept,
                                                 time_point lost_at);
    /// Adds the job's crash counts to the next batch.
    void store_crashes(job_state& job, task_id const& task);
    /// Logs a crash under a task, and gives the task up if it is due.
    void judge_crash(task_id const& task, task_location const& at,
                     std::string const& worker, time_point now);
    /// Fails the job of a task that has crashed enough workers.
    void give_up_if_due(task_id const& task, task_location const& at,
                        time_point now);
    /// Whether much of the worker's rack, data centre or kind went silent at
    /// that time, as in a failure of their power, whatever they ran.
    bool has_common_cause(worker_state const& lost, time_point at) const;
    static crash_counts crash_counts_of(job_state const& job,
                                        block_number block);
    /// `start_budget::used()` of the block's tasks that have lost runs.
    static task_numbers start_counts_of(job_state const& job,
                                        block_number block);
    /// The job that an earlier owner stored counts of. Deletes their record and
    /// returns null if it has ended.
    /// @throws std::invalid_argument if it is not the name of a block
    job_state* find_counted(record_kind kind, std::string const& name);
    /// Adds a block's crash and start counts, lost runs and confirmed runs to
    /// the batch if they have changed, or deletes them once the job has ended.
    void append_count_records(std::string const& id, job_state& job,
                              block_number block, cell_batch& batch);
    /// The runs of a block's tasks whose workers do not answer.
    lost_runs lost_runs_of(std::string const& id, job_state const& job,
                           block_number block) const;
    /// Adds the job's lost runs to the next batch.
    void store_lost_runs(job_state& job, task_id const& task);
    /// Drops the lost runs of a job that is removed: another may get its id.
    void forget_lost_runs(job_id const& job);
    /// No run that was lost with the worker may be forgiven any more.
    void settle_lapsed_runs(worker_state& worker);
    /// Reports an event of a run to its task's `start_budget`, and adds a
    /// change to the next batch.
    void update_budget(task_id const& task, task_location const& at,
                       void (start_budget::*event)(std::uint32_t) noexcept,
                       std::uint32_t run);
    /// Counts the runs of finite tasks on a worker that is lost, unless its end
    /// was ordered or announced.
    /// @param survivors lists the runs that began on the next incarnation
    /// @param kept tasks that the next incarnation may run
    /// @return the runs that were counted, by task
    std::map<task_id, std::uint32_t>
    count_lost_runs(worker_state const& worker, time_point now,
                    worker_report const& survivors = {},
                    std::set<task_id> const& kept = {});
    /// The runs that were released when the worker's lease lapsed have not
    /// crashed it.
    void forgive_lapsed_runs(worker_state& worker);
    /// The worker has not carried out a start that was counted as a lost run
    /// before its outcome was known.
    void forgive_lost_start(std::string const& worker, task_id const& task,
                            std::uint32_t run);
    /// Whether it is likely to turn out yet that a lost run of the task was no
    /// crash.
    bool may_be_forgiven(task_id const& task, time_point now) const;
    /// Whether the task may not be started now, since too many of its runs were
    /// lost. Fails its job if none of them can be forgiven any more.
    bool is_out_of_starts(task_id const& task, task_location const& at,
                          time_point now);
    /// The task has run long enough to be no cause of earlier crashes.
    void clear_crashes(task_id const& id, task_location const& at);
    /// Others are kept from the task's worker.
    void begin_isolation(task_state& task, task_isolation isolation);
    /// The task may run beside others from now on.
    static void end_isolation(worker_state& worker, task_state& task);

    // cell_ranking.cpp
    /// Whether jobs are ranked under overload; else all go by deadline.
    bool ranks_jobs() const;
    /// The pool's usable workers and those that move to it, without what
    /// long-running tasks occupy.
    pool_capacity capacity_of(pool_name const& pool, time_point now) const;
    /// @param typical the size of the workers that the work is counted in
    ranked_job ranked(job_state const& job, resource_amount const& typical,
                      time_point now) const;
    /// The open jobs of a pool. Adds what long-running ones occupy to
    /// `capacity`.
    std::vector<std::pair<job_state const*, ranked_job>>
    ranked_jobs(pool_name const& pool, pool_capacity& capacity,
                time_point now) const;
    /// Selects the jobs that fit before their deadlines, if jobs have waited
    /// since the last placement and the last ranking is old enough.
    void rank_pool(pool_name const& pool, time_point now);
    /// Removes the rankings of pools without waiting jobs.
    void forget_rankings(
        std::map<pool_name, std::vector<std::pair<job_id, job_state*>>> const&
            waiting);
    /// Remembers whether finite jobs of the pool wait after a placement.
    void note_unplaced(pool_name const& pool,
                       std::vector<std::pair<job_id, job_state*>> const& jobs);
    placement_key placement_key_of(job_state const& job, bool late,
                                   time_point now) const;
    /// Whether the latest ranking of the pool deferred some job.
    bool has_deferred_jobs(pool_name const& pool) const
    {
        auto const found = rankings_.find(pool);
        return found != rankings_.end() && found->second.has_deferred_;
    }
    /// Whether a job that has to wait may be accepted: see `may_displace()`.
    /// @param path run time of its longest chain of steps
    bool may_wait(queue_route const& route, deadline_work const& next,
                  duration path, bool beyond_share, time_point now) const;
    /// Records the work of a job that the queue was asked for.
    void add_size(queue_route const& route, double work);

    // cell_placement.cpp
    /// Places a task that may crash its worker, if there is a worker where that
    /// harms no other task; else prepares one.
    void place_isolated(task_id const& task, task_location const& at,
                        task_isolation isolation, time_point now);
    /// Keeps other tasks off one more of the candidates that suit the task, up
    /// to a limit.
    void isolate_worker(task_location const& at, time_point now);
    /// Whether a task waits for a worker and its step may begin. Placement
    /// leaves the other jobs out, so that running ones cost it nothing.
    static bool has_waiting_task(job_state const& job);
    void place(time_point now);
    void place_pool(pool_name const& pool,
                    std::vector<std::pair<job_id, job_state*>>& jobs,
                    time_point now);
    void place_step(job_id const& id, job_state& job, std::uint32_t occurrence,
                    std::uint32_t step, unplaced_demands& unplaced,
                    time_point now);
    void place_gang(job_id const& id, job_state& job, std::uint32_t occurrence,
                    std::uint32_t step, unplaced_demands& unplaced,
                    time_point now);
    /// Whether the candidates have room for all tasks of a step at once.
    bool has_slots(job_step const& shape, time_point now) const;
    /// Whether the workspace's limit keeps tasks of a step from starting now.
    /// Logs it, and lets a gang reserve room.
    bool is_held_by_limit(step_id const& step, job_state const& job,
                          time_point now);
    /// Whether it keeps a task of each step from starting.
    static bool is_held_by_limit(job_state const& job);
    /// Updates the accounts by the orphaned runs of jobs that are known.
    void account_for_orphans();
    /// Collects the workers of a pool that can take some task into
    /// `candidates_`.
    void find_candidates(pool_name const& pool, time_point now);
    /// Returns the best candidate; null if none can take a task of the step.
    worker_state* choose_worker(step_id const& id, job_state const& job,
                                task_isolation isolation, time_point now);
    /// Logs for a long-running step without a worker which rules exclude how
    /// many workers of its pool.
    void log_wait(step_id const& id, job_state& job, time_point now);
    advice_policy const* advice_for(job_state const& job) const;
    /// Stores the policy of a queue that has jobs, if it has changed.
    void store_policy(queue_route const& route);
    /// Deletes the stored policies of queues that were removed and have no
    /// jobs.
    void delete_unused_policies();
    /// Queries the policy service about some of these workers, unless a limit
    /// on such queries forbids it.
    void request_advice(step_id const& id, advice_policy const& advice,
                        std::vector<std::pair<double, std::string>> workers,
                        time_point now);
    placement_view view_of(worker_state const& worker, job_step const& shape,
                           step_state const& step, task_isolation isolation,
                           time_point now) const;
    void assign(task_id const& task, task_location const& at,
                worker_state& worker, std::uint32_t run, time_point now);

    cell_options options_;
    time_point takeover_time_;
    time_point confirmed_{};
    time_point entries_read_at_{};
    duration event_delay_{0};
    fleet_config config_;
    run_time_model run_times_;
    ticket_cache tickets_;
    demand_estimator demand_;
    /// As stored, by the queue's name.
    std::map<std::string, advice_policy> policies_;
    std::map<pool_name, std::uint32_t> incoming_;
    /// Of pools whose finite jobs wait for workers.
    std::map<pool_name, pool_ranking> rankings_;
    /// By the queue's name.
    std::map<std::string, job_sizes> job_sizes_;
    std::unordered_map<std::string, job_state> jobs_;
    /// Before the jobs, which refer to it.
    workspace_accounts accounts_;
    /// Sum of `job_state::memory_`, in bytes.
    std::uint64_t job_memory_ = 0;
    /// Jobs that have not ended, and some that ended recently. Loops use it
    /// because most entries of `jobs_` are ended jobs that are still retained.
    std::map<std::string, job_state*> open_jobs_;
    std::map<std::string, worker_state> workers_;
    std::map<pool_name, std::vector<std::string>> pool_workers_;
    /// The workers in `workers_` by the VM of their entry. A VM has several
    /// while entries of its earlier incarnations remain.
    std::map<vm_id, std::vector<std::string>> vm_workers_;
    /// Workers of the pool that is being placed.
    std::vector<worker_state*> candidates_;
    /// Reserved VMs, and when their order was sent, as in `worker_state`.
    std::map<vm_id, time_point> reserved_;
    /// Tasks and runs that were counted as lost while their starts were in
    /// flight.
    std::set<std::pair<task_id, std::uint32_t>> lost_starts_;
    /// Steps without room on other VMs.
    step_waits reservation_waits_;
    /// Jobs and their blocks whose records are out of date.
    std::deque<std::pair<std::string, block_number>> dirty_blocks_;
    /// Those that were when the sweep began, and are not in a batch yet. A
    /// sweep takes several batches if they don't fit into one.
    std::deque<std::pair<std::string, block_number>> sweep_;
    /// The ends that had been read by then, as in `batch_effects`.
    std::map<std::string, std::uint64_t> sweep_ends_;
    /// Jobs whose records the next batch ends.
    std::vector<std::string> removed_jobs_;
    std::set<std::string> workers_with_new_ends_;
    /// Records from `append_record()`, numbered and stored in that order.
    std::vector<cell_record> external_records_;
    std::uint64_t last_record_number_ = 0;
    std::uint64_t stored_record_number_ = 0;
    std::optional<batch_effects> in_flight_batch_;
    time_point batch_sent_at_{};
    /// The longest wait that a client of a queue declared, by queue name.
    std::map<std::string, duration> max_client_waits_;
    std::vector<cell_action> actions_;
    /// The highest `token_offset_` of a worker. It only rises, so that a worker
    /// that is dropped and found again refuses earlier requests.
    std::uint32_t token_offset_ = 0;
    bool placement_due_ = true;
    time_point next_cleanup_{};
    time_point next_periodic_checks_{};
    time_point next_placement_{};
    /// When the next placement takes place even if none is due.
    time_point latest_placement_{};
    /// When tasks that wait for an isolated worker are placed again; unset if
    /// there are none.
    time_point next_isolation_retry_{};
    time_point next_renewals_{};
    time_point next_stall_check_{};
    /// Between two renewals of one worker; depends on the number of busy ones.
    duration renewal_interval_{0};
};

} // namespace cuminfold

#endif
