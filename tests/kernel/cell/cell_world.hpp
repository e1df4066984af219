#ifndef CUMINFOLD_TESTS_KERNEL_CELL_CELL_WORLD_HPP
#define CUMINFOLD_TESTS_KERNEL_CELL_CELL_WORLD_HPP

#include "kernel/cell/cell.hpp"
#include "kernel/cell/fake_worker.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// A cell with its store and workers in virtual time, and an oracle that checks
/// each start against the state of the workers alone.
class cell_world
{
public:
    /// Shares of the calls to workers that get a fault, in percent.
    struct faults
    {
        std::uint32_t answers_lost_ = 0; ///< executed, no answer
        std::uint32_t calls_lost_ = 0;   ///< not executed, no answer
        std::uint32_t calls_late_ = 0;   ///< executed seconds later, no answer
        std::uint32_t stops_lost_ = 0;   ///< as `calls_lost_`, for stops alone
    };

    /// A call is executed, or has no effect any more, within this time.
    static constexpr std::chrono::milliseconds max_call_delay{12'300};

    /// An owner may send starts by a worker's earlier, larger size for this
    /// long after the worker has shrunk: the users' 3 s and one heartbeat.
    static constexpr std::chrono::milliseconds shrink_grace{4000};

    /// How a worker that starts again registers itself.
    enum class restart_ids : std::uint8_t
    {
        changed, ///< under another id, without the start of its incarnation
        kept     ///< under the same id, with the start of its incarnation
    };

    /// @param max_lease a lease that ends later is shortened to this by the
    /// workers
    explicit cell_world(
        std::uint32_t seed, std::uint32_t workers = 4,
        restart_ids ids = restart_ids::changed,
        std::chrono::milliseconds max_lease = std::chrono::milliseconds{3000});

    static job_step make_step(std::uint32_t tasks, std::int64_t cpu_milli,
                              std::chrono::milliseconds time);
    /// @param occurrences as in `job_definition`; all are due at once
    void submit(std::string const& id, std::vector<job_step> steps,
                std::uint32_t occurrences = 0);
    void cancel(std::string const& id);
    /// Reads a job's status as that caller, and returns the answer.
    answer_kind query(std::string const& id, job_caller const& from);
    void run_for(duration time);
    void run_for(std::chrono::milliseconds time)
    {
        run_for(std::chrono::duration_cast<duration>(time));
    }

    /// Replaces the owner by one with a higher epoch, which restores its state
    /// from the store.
    void take_over();
    /// Ends a worker's process and starts a new incarnation on the same VM.
    void crash(std::uint32_t worker);
    /// Ends a worker's process. Its VM is down for `down_time`, then a new
    /// incarnation starts there.
    void crash_for(std::uint32_t worker, std::chrono::milliseconds down_time);
    /// Reports a registration of the worker's previous incarnation again, as a
    /// store that lags does. The present one registers again later.
    void list_previous_incarnation(std::uint32_t worker);
    /// Ends a worker's runs as failed, without an order.
    void end_runs(std::uint32_t worker);
    /// Removes a worker's entry from the store for a time, while it works on.
    void expire_entry(std::uint32_t worker);
    /// Reports the worker's entry to the owner as draining.
    void drain(std::uint32_t worker);
    /// Changes a worker's size. Its entry is reported to the owner later.
    /// @param report_delay below `shrink_grace`
    void resize(std::uint32_t worker, resource_amount const& size,
                std::chrono::milliseconds report_delay);
    /// Orders the move of a worker's VM. The next incarnation registers while
    /// the store still has the entry of this one.
    void move(std::uint32_t worker);
    /// Starts or ends a network partition between the owner and a worker.
    void cut(std::uint32_t worker, bool cut);
    /// Reports each VM with its present worker to the owner.
    void list_vms();
    /// Reports the workers' entries to the owner.
    void list_workers();
    /// Starts a task on a worker without the owner, to simulate a defect that
    /// the oracle must detect.
    /// @param time after which the run ends by itself; without an end if absent
    void
    force_start(std::uint32_t worker, task_id const& task,
                std::optional<std::chrono::milliseconds> time = std::nullopt);
    /// Stops the present run of a task on a worker without the owner, likewise.
    void force_stop(std::uint32_t worker, task_id const& task);
    /// Whether the oracle found a violation whose text begins with `rule`.
    bool has_violation(std::string const& rule) const;
    /// Returns all violations, one per line.
    std::string violations() const;

    /// Whether a client's request got an answer of that kind.
    /// @param id of the job; "cancel " and the job's id for a cancellation
    bool has_answer(std::string const& id, answer_kind kind) const;
    /// Returns the job's stored status; `queued` if the owner does not know it.
    job_status status(std::string const& id) const;
    /// Number of runs of the job's tasks that workers accepted.
    std::size_t runs_of(std::string const& id) const;
    /// The worker that runs the task now, if any.
    std::optional<std::uint32_t> worker_running(task_id const& task) const;
    /// Number of the job's tasks that run on some worker now.
    std::size_t running_tasks(std::string const& id) const;
    bool all_ended() const;
    /// Number of ended runs that workers still report because no owner has
    /// acknowledged them.
    std::size_t unacknowledged_ends() const;

    cell& owner()
    {
        return *cell_;
    }
    std::uint32_t worker_count() const
    {
        return static_cast<std::uint32_t>(workers_.size());
    }
    fake_worker& worker(std::uint32_t number)
    {
        return *workers_[number];
    }
    time_point now() const
    {
        return now_;
    }
    /// The stored records of that kind that hold a text, by name.
    std::map<std::string, std::string> stored_texts(record_kind kind) const;

    /// Replaces a stored record, as another program may have written it.
    void store_text(record_kind kind, std::string const& name, std::string text)
    {
        stored_texts_[kind][name] = std::move(text);
    }

    faults faults_;
    bool store_down_ = false;
    /// Of later owners: see `cell_options`.
    job_ranking_use job_ranking_ = job_ranking_use::with_workspaces;
    /// The same, in bytes.
    std::uint64_t max_job_memory_ = cell_options{}.max_job_memory_;
    /// Largest record of the store, and largest append, in bytes.
    bool measures_records_ = false;
    std::size_t largest_record_ = 0;
    std::size_t largest_batch_ = 0;
    /// Writes each job's progress as one record, as programs before the blocks
    /// did.
    void merge_blocks();
    /// Stores that a task is waiting after its first run.
    void forget_progress(task_id const& task);
    /// Names of the records of that kind with any content.
    std::size_t stored_blocks() const
    {
        return stored_progress_.size();
    }
    /// Calls to a crashed worker's address reach another incarnation.
    bool reuses_addresses_ = false;
    /// Connections to the address of a worker that is gone time out, so that
    /// the call is known not to have been sent.
    bool refuses_connections_ = false;
    /// Ends that a worker lists in one answer.
    std::size_t max_listed_ends_ = 500;
    /// From a worker's restart until its registration is read.
    std::chrono::milliseconds registration_delay_{500};
    /// The calendar of a worker that starts again is behind that of before.
    bool calendars_step_back_ = false;
    /// Added to the time that a start takes to be executed. It is under way on
    /// the worker's VM by then, so that neither a restart of the worker nor a
    /// network partition drops it.
    std::chrono::milliseconds start_delay_{0};
    /// The same for a renewal.
    std::chrono::milliseconds renewal_delay_{0};
    /// Added to the time that a stop takes to reach its worker.
    std::chrono::milliseconds stop_delay_{0};
    /// Whether the store has the workers' entries when an owner takes over.
    bool has_entries_ = true;
    /// While set, the owner cannot read the workers' entries.
    bool entries_stale_ = false;
    /// While set, the workers cannot write their entries.
    bool are_cut_from_store_ = false;
    /// While set, the policy service does not answer. Otherwise it denies the
    /// workers with an odd number.
    bool advice_down_ = false;
    /// Number of workers that the policy service was queried about.
    std::size_t advice_queries_ = 0;
    /// Adds a pool without workers to the configuration.
    void add_pool(pool_name const& name);
    /// The workspace of the jobs that are submitted from now on; empty: none.
    workspace_name workspace_;
    /// Adds a workspace to the configuration, or changes its limit.
    void set_limit(workspace_name const& workspace,
                   resource_amount const& limit);
    /// Sets by when the queue's jobs should end, as in `queue_route`.
    void set_objective(double stretch, std::chrono::milliseconds objective);
    /// Removes the queue from the configuration.
    void remove_queue();
    /// Gives the queue a policy.
    /// @param validity of a ticket, from when it was requested
    void set_policy(std::chrono::milliseconds validity);
    /// From when the workers count the validity of a ticket.
    enum class ticket_start : std::uint8_t
    {
        request,  ///< when the owner sent the query
        decision, ///< when the service began to handle the query
        answer    ///< when the service answered
    };
    void set_policy(advice_policy const& policy, ticket_start from);
    /// Keeps the policy service busy with other queries of this VM, so that it
    /// handles those of the owner after that time.
    void delay_advice(std::chrono::milliseconds time);
    /// Tasks that some owner sent a stop for.
    std::set<task_id> stops_sent_;
    /// Starts of each task that got no answer.
    std::map<task_id, std::uint32_t> unanswered_starts_;
    /// Jobs whose runs all fail.
    std::set<std::string> failing_;
    /// VMs whose workers fail every run soon after its start.
    std::set<vm_id> failing_vms_;
    /// Tasks that crash each worker that starts them.
    std::set<task_id> deadly_;
    /// Time from the start of such a task to the crash of its worker.
    std::chrono::milliseconds deadly_delay_{10};
    /// How long the VM of a worker that a task crashed is down.
    std::chrono::milliseconds deadly_down_time_{3300};
    /// Reports each VM with its present worker to the owner, as the platform's
    /// list does.
    bool lists_vms_ = false;
    /// Number of workers that crashed under a task because of it.
    std::uint32_t crashes_by(task_id const& task) const;
    /// Highest number of runs that one task lost by crashes that another task
    /// caused.
    std::uint32_t most_runs_lost() const;
    std::vector<std::string> violations_;
    /// The causes that the owners logged, by event.
    std::map<std::string, std::vector<std::string>> logged_;

private:
    using call_end = std::function<void(call_outcome)>;

    /// Advances the virtual time by one interval.
    void step();
    /// Lets the owner act, and executes its actions.
    void process();
    void schedule(time_point when, std::function<void()> what);
    /// Simulates a call to a worker with the configured faults.
    /// @param may_be_late whether `calls_late_` applies
    /// @param execute runs on the worker
    /// @param done gets the outcome that the owner sees, unless the owner was
    /// replaced in the meantime
    void call(std::string const& address, bool may_be_late,
              std::function<call_outcome()> execute, call_end done);
    /// Simulates a call that is executed after `delay` by whichever incarnation
    /// has the worker's address then. It gets no answer if that is later than
    /// the owner waits, or if the worker is disconnected by then.
    void call_later(std::string const& address, duration delay,
                    std::function<call_outcome()> execute, call_end done);
    /// The fencing token of an order that the present owner sends.
    template <class Order>
    std::uint64_t token_of(Order const& order) const
    {
        constexpr unsigned offset_bits = 32;
        return (epoch_ << offset_bits) + order.token_offset_;
    }
    /// As the present owner would send to that worker.
    std::uint32_t token_offset_of(std::uint32_t worker) const;
    void carry_out(start_run const& order);
    void carry_out(stop_run const& order);
    /// @param sent when the owner with that token sent the stop
    void call_stop(stop_run const& order, std::uint64_t token, time_point sent);
    void carry_out(renew_worker const& order);
    void carry_out(query_advice const& order);
    void carry_out(answer_client const& answer);
    void carry_out(log_decision const& line);
    void store(cell_batch const& batch);
    void measure(cell_batch const& batch);
    void store(cell_record const& record);
    /// Checks a start that a worker accepted and records violations.
    /// @param sent when the owner sent it
    void check_start(start_run const& order, fake_worker const& on,
                     time_point sent);
    /// Whether a start has exceeded the limits that its workspace had when the
    /// owner sent it and later, by more than the platform tolerates.
    /// @param shape of the task that was started
    bool exceeds_limit(job_definition const& job, job_step const& shape,
                       time_point sent) const;
    /// Whether the worker's runs exceed each size that an owner may have
    /// counted with at that time.
    bool exceeds_size(fake_worker const& on, time_point sent) const;
    /// Checks a stop that a worker executes and records violations of
    /// `max_unavailable_`.
    void check_stop(fake_worker const& on, task_id const& task,
                    std::uint32_t run, time_point sent);
    /// Whether a worker runs the task.
    bool is_running(task_id const& task) const;
    /// Notes the tasks that have begun on a worker that crashes.
    void count_crash(fake_worker const& crashed);
    /// Crashes the worker if the task is deadly and still runs there.
    void crash_under(task_id const& task, std::string const& worker);
    /// Ends the runs of gangs of which a member has begun and ended otherwise
    /// than done.
    void break_gangs();
    /// Checks that a job that is given up after lost runs or crashes had
    /// enough.
    /// @param cause as it is logged: the task and the number of its starts or
    /// crashes
    void check_given_up(std::string const& cause);
    /// Records the runs that ended, and those whose end was acknowledged.
    void record_ends();
    bool chance(std::uint32_t percent);
    fake_worker* find(std::string const& id);
    worker_registration entry(std::uint32_t number) const;
    std::unique_ptr<fake_worker> make_worker(std::uint32_t number) const;
    /// The workers write their entries again.
    void repeat_entries();
    /// The store gets the entry of a worker that has started again.
    void register_worker(std::uint32_t number);

    std::mt19937 random_;
    time_point now_{std::chrono::seconds{1000}};
    std::uint64_t epoch_ = 0;
    std::unique_ptr<cell> cell_;
    fleet_config config_;
    /// What the workers demand tickets by, also for a queue that was removed.
    std::optional<advice_policy> policy_;
    ticket_start ticket_start_ = ticket_start::request;
    /// When the policy service has handled all queries that it has received.
    time_point advice_free_at_{};
    std::vector<std::unique_ptr<fake_worker>> workers_;
    restart_ids ids_;
    std::chrono::milliseconds max_lease_;
    std::vector<std::uint32_t> incarnations_;
    /// The registrations that the store has, if ids are kept.
    std::vector<worker_registration> registered_;
    /// The registrations of the previous incarnations.
    std::vector<worker_registration> previous_entries_;
    std::multimap<time_point, std::function<void()>> events_;

    /// Members of a gang that have begun, by the gang's step and run.
    std::map<std::pair<step_id, std::uint32_t>, std::set<std::uint32_t>>
        gang_members_;
    bool has_gangs_ = false;

    /// The limits of each workspace, and from when on each holds.
    std::map<workspace_name, std::map<time_point, resource_amount>> limits_;
    std::map<std::string, job_definition> stored_jobs_;
    std::map<std::string, job_progress> stored_progress_;
    std::map<record_kind, std::map<std::string, std::string>> stored_texts_;
    bool append_in_flight_ = false;

    std::map<std::uint64_t, std::string> exchanges_;
    std::map<std::string, std::vector<answer_kind>> answers_;
    std::uint64_t next_exchange_ = 1;

    // State of the oracle.
    /// A worker's earlier sizes, each with the time when it changed.
    std::map<std::string, std::vector<std::pair<time_point, resource_amount>>>
        former_sizes_;
    std::map<std::string, job_definition> submitted_;
    std::map<std::string, time_point> submitted_at_;
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, time_point> cancel_acknowledged_;
    std::set<std::string> cancelled_;
    std::map<task_id, std::uint32_t> failures_;
    std::map<task_id, std::uint32_t> crashes_;
    /// Starts of a task since it caused its third crash.
    std::map<task_id, std::uint32_t> starts_after_crashes_;
    std::map<task_id, std::uint32_t> runs_lost_;
    /// The runs of each task that a worker may have begun, as far as the owners
    /// that sent their starts know.
    std::map<std::string, std::set<std::uint32_t>> possible_runs_;
    /// Crashes of workers that a run of the task had begun on, or that a stop
    /// of it had reached.
    std::map<std::string, std::uint32_t> crashes_after_begin_;
    time_point next_vm_list_{};
    time_point next_entries_{};
    std::set<task_id> done_;
    /// Number of tasks in `done_` by their step.
    std::map<step_id, std::uint32_t> tasks_done_;
    /// Tasks whose successful end was acknowledged; they must not start again.
    std::set<task_id> acknowledged_done_;
    /// Runs that started after an earlier run of the task was done, but before
    /// that end was acknowledged.
    std::map<task_id, std::uint32_t> started_again_;
    /// Long-running tasks that a stop ended and that have not started since.
    std::set<task_id> stopped_;
    /// When a long-running task was last seen to run.
    std::map<task_id, time_point> last_running_;
    /// Ends by their numbers, and by the worker's id and incarnation.
    std::set<std::pair<std::string, std::uint64_t>> ends_seen_;
    std::set<std::pair<std::string, std::uint64_t>> acknowledged_seen_;
};

} // namespace cuminfold

#endif
