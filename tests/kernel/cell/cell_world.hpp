#ifndef CUMINFOLD_TESTS_KERNEL_CELL_CELL_WORLD_HPP
#define CUMINFOLD_TESTS_KERNEL_CELL_CELL_WORLD_HPP

#include "kernel/cell/cell.hpp"
#include "kernel/cell/fake_worker.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// A cell with its store and workers in virtual time, and an oracle that
/// judges starts by what the workers alone can see.
class cell_world
{
public:
    /// Shares of calls to workers, in percent.
    struct faults
    {
        std::uint32_t answers_lost_ = 0; ///< carried out, no answer
        std::uint32_t calls_lost_ = 0;   ///< not carried out, no answer
        std::uint32_t calls_late_ = 0;   ///< carried out seconds later
    };

    explicit cell_world(std::uint32_t seed, std::uint32_t workers = 4);

    static job_step make_step(std::uint32_t tasks, std::int64_t cpu_milli,
                              std::chrono::milliseconds time);
    void submit(std::string const& id, std::vector<job_step> steps);
    void cancel(std::string const& id);
    void run_for(duration time);
    void run_for(std::chrono::milliseconds time)
    {
        run_for(std::chrono::duration_cast<duration>(time));
    }

    /// A new owner of a higher epoch; the one before is gone.
    void take_over();
    /// A worker's process ends and another life begins.
    void crash(std::uint32_t worker);
    void drain(std::uint32_t worker);
    /// Nothing passes between owner and worker.
    void cut(std::uint32_t worker, bool cut);
    void list_vms();
    /// Starts a task on a worker past the owner, as a defect would.
    void force_start(std::uint32_t worker, task_id const& task);
    bool has_violation(std::string const& rule) const;
    /// All breaches, a line each.
    std::string violations() const;

    bool has_answer(std::string const& id, answer_kind kind) const;
    job_status status(std::string const& id) const;
    std::size_t runs_of(std::string const& id) const;
    bool all_ended() const;
    /// Ends that workers still list, since nobody acknowledged them.
    std::size_t unacknowledged_ends() const;

    cell& owner()
    {
        return *cell_;
    }
    fake_worker& worker(std::uint32_t number)
    {
        return *workers_[number];
    }
    time_point now() const
    {
        return now_;
    }

    faults faults_;
    bool store_down_ = false;
    /// The owner reads no entries of workers.
    bool entries_stale_ = false;
    /// The policy service denies every worker of an odd number, and answers
    /// nothing while it is away.
    bool advice_down_ = false;
    std::size_t advice_queries_ = 0;
    /// Gives the queue a policy; tickets are valid for this long.
    /// The queue is no longer configured.
    void remove_queue();
    void set_policy(std::chrono::milliseconds validity);
    /// Runs of tasks of these jobs fail.
    std::set<std::string> failing_;
    std::vector<std::string> violations_;

private:
    using call_end = std::function<void(call_outcome)>;

    void step();
    void pump();
    void at(time_point when, std::function<void()> what);
    void call(std::string const& address, bool may_be_late,
              std::function<call_outcome()> execute, call_end done);
    void carry_out(start_run const& order);
    void carry_out(stop_run const& order);
    void carry_out(renew_worker const& order);
    void carry_out(query_advice const& order);
    void carry_out(answer_client const& answer);
    void store(cell_batch const& batch);
    void check_start(start_run const& order, fake_worker const& on);
    void record_ends();
    bool chance(std::uint32_t percent);
    fake_worker* find(std::string const& id);
    worker_registration entry(std::uint32_t number) const;

    std::mt19937 random_;
    time_point now_{std::chrono::seconds{1000}};
    std::uint64_t epoch_ = 0;
    std::unique_ptr<cell> cell_;
    fleet_config config_;
    std::vector<std::unique_ptr<fake_worker>> workers_;
    std::vector<std::uint32_t> incarnations_;
    std::multimap<time_point, std::function<void()>> queue_;

    std::map<std::string, job_definition> stored_jobs_;
    std::map<std::string, job_progress> stored_progress_;
    bool append_out_ = false;

    std::map<std::uint64_t, std::string> exchanges_;
    std::map<std::string, std::vector<answer_kind>> answers_;
    std::uint64_t next_exchange_ = 1;

    /// What the oracle knows.
    std::map<std::string, job_definition> submitted_;
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, time_point> cancel_acknowledged_;
    std::map<task_id, std::uint32_t> failures_;
    std::set<task_id> done_;
    /// Done, and that was acknowledged: the task must not start again.
    std::set<task_id> acknowledged_done_;
    /// Runs that began after one had ended as done, when that end was not
    /// acknowledged yet.
    std::map<task_id, std::uint32_t> started_again_;
    std::set<std::pair<std::string, std::uint64_t>> ends_seen_;
    std::set<std::pair<std::string, std::uint64_t>> acknowledged_seen_;
};

} // namespace cuminfold

#endif
