#ifndef CUMINFOLD_KERNEL_CELL_CELL_HPP
#define CUMINFOLD_KERNEL_CELL_CELL_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/demand_estimator.hpp"
#include "kernel/cell/fleet_config.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/job_state.hpp"
#include "kernel/cell/placement_rule.hpp"
#include "kernel/cell/pool_plan.hpp"
#include "kernel/cell/run_time_model.hpp"
#include "kernel/cell/ticket_cache.hpp"
#include "kernel/cell/worker_state.hpp"
#include "kernel/time.hpp"

#include <cstdint>
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

/// Times and bounds of a cell.
struct cell_options
{
    /// Lease that a renewal gives. A worker that falls silent costs this much
    /// before its tasks may go elsewhere.
    duration lease_ = std::chrono::milliseconds{3000};
    /// How long a worker may hold the answer to a renewal back for an end.
    duration renewal_wait_ = std::chrono::milliseconds{1500};
    /// Least time between two renewals of one worker, so that ends gather.
    duration renewal_interval_ = std::chrono::milliseconds{30};
    /// Renewals a second of all workers together; with many busy workers the
    /// gap grows to keep to it. Half a core carries about this many beside the
    /// starts that come with them.
    std::uint32_t renewal_rate_ = 2000;
    /// A stop without an acknowledgement is repeated after this.
    duration stop_retry_interval_ = std::chrono::milliseconds{150};
    /// Without a confirmation of its epoch an owner gives no orders for longer
    /// than this after its last one.
    duration confirmation_limit_ = std::chrono::milliseconds{5000};
    /// The platform's bound on a lease; what an earlier owner gave.
    duration longest_lease_ = std::chrono::milliseconds{3000};
    /// A stop has taken effect after this.
    duration stop_grace_ = std::chrono::milliseconds{600};
    /// A store that takes this long for a batch is taken for unreachable:
    /// nothing new is accepted.
    duration store_stall_timeout_ = std::chrono::milliseconds{700};
    /// Entries of workers that were last read longer ago than this start
    /// nothing: one of them may be leaving by now.
    duration max_entries_age_ = std::chrono::milliseconds{1500};
    /// An owner whose events wait longer than this for their turn has no
    /// processor time left for further jobs.
    duration max_event_delay_ = std::chrono::milliseconds{300};
    /// A job cannot be stored in less time than this.
    duration min_client_time_ = std::chrono::milliseconds{50};
    /// Time that ended jobs stay known.
    duration ended_job_retention_ = std::chrono::seconds{130};
    /// A task without progress for this share of its expected run time, and
    /// for no less than the floor, is stopped and tried elsewhere.
    double stall_timeout_share_ = 0.3;
    duration min_stall_timeout_ = std::chrono::milliseconds{2200};
};

/// The only writer of one partition: places the jobs of its pools on their
/// workers.
///
/// It holds no clock, socket or thread: time is passed in, and what is to be
/// done is returned as actions. An order to a worker is given only after the
/// record that explains it was stored, so that the next owner knows every run
/// that may exist.
class cell
{
public:
    /// @param now the time of the takeover
    cell(cell_options options, time_point now);

    /// @name Recovery, before anything else
    /// @{
    void restore(job_definition request, time_point now);
    void restore(job_id const& job, job_progress const& progress,
                 time_point now);
    void finish_restore(time_point now);
    /// @}

    /// The store accepted this owner's epoch; `sent` is when it was asked.
    void on_epoch_confirmed(time_point sent);

    void set_config(fleet_config const& config);

    /// How long events of this owner wait for their turn at present.
    void set_event_delay(duration delay);

    /// @name Workers
    /// Their entries were read whole up to that time.
    void on_entries_read(time_point at);
    /// @{
    void on_worker_listed(worker_registration entry, time_point now);
    /// The platform lists that worker as the present life on a VM.
    void on_vm_listed(vm_id const& vm, std::string const& worker,
                      time_point asked, time_point now);
    void on_worker_unlisted(std::string const& worker, time_point now);
    void on_start_response(std::string const& worker, task_id const& task,
                           std::uint32_t run, call_outcome outcome,
                           time_point now);
    void on_stop_response(std::string const& worker, task_id const& task,
                          std::uint32_t run, call_outcome outcome,
                          time_point now);
    /// @param extra of a `renew_worker` that was extra
    /// @param sent when the worker was asked
    void on_renewal_response(std::string const& worker, bool extra,
                             call_outcome outcome, worker_report const& report,
                             time_point sent, time_point now);
    /// @param allowed none if there was no answer
    void
    on_advice_response(query_advice const& question,
                       std::optional<std::vector<ticket_row>> const& allowed,
                       time_point sent, time_point now);
    /// @}

    /// @name Clients; each is answered once by an `answer_client`
    /// @{
    /// @param time_left how long the client waits for the answer
    void submit(std::uint64_t exchange, queue_route const& route,
                job_definition request, duration time_left, time_point now);
    void query(std::uint64_t exchange, job_id const& job);
    void cancel(std::uint64_t exchange, job_id const& job, time_point now);
    void count(std::uint64_t exchange, queue_route const& route);
    /// @}

    /// Places, renews, repeats and gives up what is due. `calendar` decides
    /// which occurrences are due.
    void tick(time_point now, calendar_time calendar);

    /// The records to append next; none if there is nothing or a batch is out.
    std::optional<cell_batch> next_batch(time_point now);
    /// The batch that is out was stored.
    void on_batch_stored(time_point now);

    std::vector<cell_action> take_actions();

    /// Adds a record to the next batch.
    /// @return its number, for `is_stored()`
    std::uint64_t append_record(cell_record record);
    /// That record was stored.
    bool is_stored(std::uint64_t number) const;

    /// Keeps new work off a VM, or lets it come again.
    void reserve(vm_id const& vm, bool reserved);
    /// Tasks on a VM's workers, whatever their phase.
    std::size_t tasks_on(vm_id const& vm) const;
    std::size_t long_running_tasks_on(vm_id const& vm) const;
    /// A worker of that VM was first seen after that time.
    bool has_new_incarnation(vm_id const& vm, time_point since) const;

    std::map<std::string, worker_state> const& workers() const noexcept
    {
        return workers_;
    }
    std::unordered_map<std::string, job_state> const& jobs() const noexcept
    {
        return jobs_;
    }
    fleet_config const& config() const noexcept
    {
        return config_;
    }

    /// Evacuates lasting tasks from a VM, as far as their steps allow.
    void evacuate(vm_id const& vm, time_point now);

    /// What each configured pool has and what is asked of it; without its VMs
    /// that are on their way.
    std::vector<pool_load> loads(time_point now) const;
    /// VMs that are on their way to a pool; they count for what is accepted.
    void set_incoming(std::map<pool_name, std::uint32_t> incoming);

private:
    /// What may be done once the batch that is out is stored.
    struct batch_effects
    {
        std::vector<std::pair<task_id, std::uint32_t>> starts_;
        std::vector<job_id> jobs_;
        std::map<std::string, std::uint64_t> ends_;
        std::uint64_t last_record_number_ = 0;
    };

    /// What a job still needs, in worker-seconds.
    struct remaining_work
    {
        double all_ = 0;
        /// Of steps that may run now.
        double ready_ = 0;
        /// Of tasks that may run now and do not.
        double waiting_ = 0;
    };

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

    /// The job can no longer end on time, whatever is placed now.
    bool is_late(job_state const& job, time_point now) const;
    /// The least time that what is not done yet takes.
    duration remaining_chain(job_state const& job) const;
    static bool is_ready(job_step const& shape,
                         occurrence_state const& occurrence);

    // cell_clients.cpp
    client_answer answer(answer_kind kind, char const* cause) const;
    void reply(std::uint64_t exchange, client_answer answer);
    void log_event(char const* event, std::string subject, std::string cause);
    bool admit(queue_route const& route, job_definition const& request,
               duration objective, time_point now,
               client_answer& refusal) const;
    remaining_work remaining_work_of(job_state const& job,
                                     resource_amount const& worker) const;
    /// Size of the pool's workers; of any worker if it has none.
    resource_amount typical_worker(pool_name const& pool) const;
    duration time_already_waited(queue_route const& route, duration time_left);
    bool store_stalled(time_point now) const;
    void withdraw_unwritten_jobs(time_point now);
    void release_all(job_state& job, time_point now);
    std::uint64_t count_pending(std::string const& route) const;

    // cell_records.cpp
    void remove_ended_from_open();
    void mark_dirty(job_state& job);
    job_progress progress_of(job_state const& job) const;
    void send_start(task_id const& task, std::uint32_t run, time_point now);
    void answer_waiting_clients(job_state& job);
    void remove_ended_jobs(time_point now);
    void initialize_job(job_state& job, time_point now);
    void add_due_occurrences(job_state& job, calendar_time calendar);
    void add_occurrence(job_state& job);

    // cell_tasks.cpp
    task_location find(task_id const& task);
    worker_state& ensure_worker(std::string const& worker, time_point now);
    void occupy(task_id const& task, task_location const& at,
                std::string const& worker);
    void release(task_id const& task, task_location const& at, time_point now);
    void finish(task_id const& task, task_location const& at, time_point now);
    void fail_job(job_state& job, std::string const& cause, time_point now);
    void handle_end(worker_state& worker, end_report const& end,
                    time_point now);
    void handle_failure(worker_state& worker, task_id const& task,
                        task_location const& at, time_point now);
    std::uint32_t max_attempts_of(job_state const& job) const;
    void record_failure(worker_state& worker, time_point now);

    // cell_workers.cpp
    /// Looks at all jobs and tasks for what is due.
    void run_periodic_checks(time_point now, calendar_time calendar);
    bool can_send_orders(time_point now) const;
    /// May order, and knows who is leaving.
    bool can_start(time_point now) const;
    void update_clock(worker_state& worker, worker_clock clock, time_point now);
    /// Nothing of ours runs there any more; its tasks wait anew.
    void release_all(worker_state& worker, time_point now);
    void end_incarnation(worker_state& worker, char const* cause,
                         time_point now);
    bool is_usable(worker_state const& worker, time_point now) const;

    // cell_renewals.cpp
    worker_clock lease_for(worker_state& worker, time_point now);
    void reconcile(worker_state& worker, worker_report const& report,
                   time_point asked, time_point now);
    void reconcile_task(worker_state& worker, task_id const& task,
                        running_report const* report, time_point asked,
                        time_point now);
    void send_due_renewals(time_point now);
    duration renewal_interval() const;
    void query_overdue_workers(time_point now);
    bool is_overdue(task_id const& task, time_point now);
    bool needs_renewal(worker_state const& worker) const;

    // cell_stops.cpp
    void send_stop(worker_state& worker, task_id const& task, std::uint32_t run,
                   char const* cause);
    void repeat_stops(time_point now);
    void drop_lapsed_workers(time_point now);
    void evacuate(worker_state& worker, bool all, time_point now);
    void evacuate_draining_workers(time_point now);
    bool is_available(task_state const& task, time_point now) const;
    void stop_stalled(time_point now);

    // cell_placement.cpp
    void place(time_point now);
    void place_pool(pool_name const& pool,
                    std::vector<std::pair<job_id, job_state*>>& jobs,
                    time_point now);
    bool place_step(job_id const& id, job_state& job, std::uint32_t occurrence,
                    std::uint32_t step, time_point now);
    bool place_gang(job_id const& id, job_state& job, std::uint32_t occurrence,
                    std::uint32_t step, time_point now);
    /// Gathers the workers of a pool that may take any task at all.
    void find_candidates(pool_name const& pool, time_point now);
    /// The best of the candidates; null if none may take a task of the step.
    worker_state* choose_worker(step_id const& id, job_state const& job,
                                time_point now);
    advice_policy const* advice_for(job_state const& job) const;
    /// Asks the policy service about some of these workers, if it may.
    void request_advice(step_id const& id, advice_policy const& advice,
                        std::vector<std::pair<double, std::string>> workers,
                        time_point now);
    placement_view view_of(worker_state const& worker, job_step const& shape,
                           step_state const& step, time_point now) const;
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
    std::map<pool_name, std::uint32_t> incoming_;
    std::unordered_map<std::string, job_state> jobs_;
    /// Those that have not ended, and some that have just done so: ended ones
    /// stay known for long and would be most of what a loop goes through.
    std::map<std::string, job_state*> open_jobs_;
    std::map<std::string, worker_state> workers_;
    std::map<pool_name, std::vector<std::string>> pool_workers_;
    /// Of the pool that is being placed.
    std::vector<worker_state*> candidates_;
    std::set<vm_id> reserved_;
    std::vector<std::string> dirty_;
    std::vector<std::string> removed_jobs_;
    std::set<std::string> workers_with_new_ends_;
    /// Records of others; they are numbered and stored in their order.
    std::vector<cell_record> external_records_;
    std::uint64_t last_record_number_ = 0;
    std::uint64_t stored_record_number_ = 0;
    std::optional<batch_effects> in_flight_batch_;
    time_point batch_sent_at_{};
    /// The longest that clients of a queue wait, by its name.
    std::map<std::string, duration> max_client_waits_;
    std::vector<cell_action> actions_;
    bool placement_due_ = true;
    time_point next_cleanup_{};
    time_point next_periodic_checks_{};
    time_point next_placement_{};
    time_point next_renewals_{};
    time_point next_stall_check_{};
    /// Between two renewals of one worker, by how many are busy.
    duration renewal_interval_{0};
};

} // namespace cuminfold

#endif
