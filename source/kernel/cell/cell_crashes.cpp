#include "kernel/cell/cell.hpp"

#include "kernel/cell/crash_counts.hpp"
#include "kernel/cell/task_isolation.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace cuminfold
{

namespace
{

/// Workers that go silent within this time of each other may have one cause.
constexpr duration common_cause_time = std::chrono::seconds{1};
/// If this many workers, and half of a rack, a data centre or a kind, go silent
/// together, a common cause is more likely than tasks that crash them.
constexpr std::size_t min_common_cause_workers = 3;
/// How long a task waits for the proof that its worker crashed, if that may be
/// its last crash.
constexpr duration crash_proof_wait = std::chrono::seconds{1};

/// A start whose connection broke within this time reached its worker: one that
/// was gone before refuses the connection, or does not answer until a timeout.
constexpr duration max_reset_delay = std::chrono::milliseconds{200};
/// A run that began earlier than the youngest one on the worker, by more than
/// this, is not suspected: a task that crashes its worker does so soon.
constexpr duration max_start_distance = std::chrono::milliseconds{150};

/// Whether an idle worker may have been lost before the start was sent.
bool was_gone(worker_state const& worker, task_state const& task,
              time_point lost_at)
{
    return task.phase_ == task_phase::unresolved &&
           worker.answered_ < task.start_sent_ &&
           lost_at > task.start_sent_ + max_reset_delay;
}

/// Whether the report names that run, as running or as ended.
bool lists(worker_report const& report, task_id const& task, std::uint32_t run)
{
    auto const is_run = [&](auto const& row)
    { return row.run_ == run && row.task_ == task; };
    return std::any_of(report.running_.begin(), report.running_.end(),
                       is_run) ||
           std::any_of(report.ended_.begin(), report.ended_.end(), is_run);
}

/// Whether the worker had announced its end when it was lost, or an order to
/// restart it had been sent.
bool is_planned_end(worker_state const& worker, time_point lost_at)
{
    return worker.entry_.draining_ || worker.predecessor_drained_ ||
           (worker.reserved_ && worker.order_sent_at_ <= lost_at);
}

/// Adds a block's counts to the batch if they have changed, or deletes them
/// once the job has ended.
/// @param counts returns the present ones
template <class Counts>
void append_counts(record_kind kind, std::string const& job, bool ended,
                   block_number block, block_records& records,
                   Counts const& counts, cell_batch& batch)
{
    bool const changed = records.changed_.erase(block) != 0;
    bool const is_stored = records.stored_.count(block) != 0;
    if (!changed && !(ended && is_stored))
    {
        return;
    }
    auto text = ended ? std::string() : encode(counts());
    if (text.empty() && !is_stored)
    {
        return;
    }
    cell_record record;
    record.kind_ = kind;
    record.name_ = block_name(job, block);
    if (text.empty())
    {
        records.stored_.erase(block);
    }
    else
    {
        records.stored_.insert(block);
        record.text_ = std::move(text);
    }
    batch.records_.push_back(std::move(record));
}

} // namespace

void cell::log_loss(task_id const& task, task_location const& at,
                    worker_state const& worker)
{
    if (at.task_->phase_ != task_phase::placed)
    {
        log_event(
            "run_lost", describe(task),
            worker.entry_.id_ + " run=" + std::to_string(at.task_->run_) +
                " phase=" + std::to_string(static_cast<int>(at.task_->phase_)) +
                " confirmed=" +
                (at.task_->confirmed_run_ == at.task_->run_ ? "1" : "0") +
                " crashes=" + std::to_string(at.task_->crashes_) +
                " unexplained=" +
                std::to_string(at.task_->unexplained_losses_));
    }
}

void cell::record_loss(worker_state& worker, std::set<task_id> const& kept,
                       time_point now)
{
    if (worker.unanswered_renewals_ == 0 ||
        is_planned_end(worker, worker.silent_since_))
    {
        return;
    }
    worker.lost_at_ = now;
    for (auto const& run : suspects_of(worker, kept, worker.silent_since_))
    {
        if (worker.lost_runs_.insert(run).second)
        {
            auto const at = find(run.first);
            ++at.task_->unexplained_losses_;
            store_lost_runs(*at.job_, run.first);
            if (needs_crash_proof(*at.task_) && !at.shape_->long_running_)
            {
                at.task_->not_before_ = now + crash_proof_wait;
            }
        }
    }
}

std::map<task_id, std::uint32_t>
cell::suspects_of(worker_state const& worker, std::set<task_id> const& kept,
                  time_point lost_at)
{
    std::vector<std::pair<task_id, task_state*>> candidates;
    time_point youngest{};
    for (auto const& task : worker.tasks_)
    {
        auto const at = find(task);
        if (at && kept.count(task) == 0 &&
            !was_gone(worker, *at.task_, lost_at) &&
            may_have_crashed(*at.task_, at.shape_->long_running_, lost_at))
        {
            candidates.emplace_back(task, at.task_);
            youngest = std::max(youngest, at.task_->started_);
        }
    }
    std::map<task_id, std::uint32_t> runs;
    for (auto const& candidate : candidates)
    {
        auto& task = *candidate.second;
        // An unanswered start may have been carried out at any time.
        if (task.phase_ == task_phase::unresolved ||
            youngest - task.started_ <= max_start_distance)
        {
            task.ran_before_loss_ = ran_before(task, lost_at);
            runs.emplace(candidate.first, task.run_);
        }
    }
    return runs;
}

void cell::store_crashes(job_state& job, task_id const& task)
{
    if (!job.ended())
    {
        job.crash_records_.changed_.insert(job.blocks_.block_of(task));
        mark_dirty(job, task);
    }
}

void cell::forget_losses(worker_state& worker)
{
    for (auto const& run : worker.lost_runs_)
    {
        auto const at = find(run.first);
        if (at && at.task_->unexplained_losses_ > 0)
        {
            --at.task_->unexplained_losses_;
            store_lost_runs(*at.job_, run.first);
            placement_due_ = true;
        }
    }
    worker.lost_runs_.clear();
}

bool cell::has_common_cause(worker_state const& lost, time_point at) const
{
    // By a data centre or label that the lost worker has: its VMs, and how
    // many of them went silent together.
    std::map<std::string, std::pair<std::set<vm_id>, std::set<vm_id>>> groups;
    for (auto const& item : workers_)
    {
        auto const& worker = item.second;
        auto const apart = worker.silent_since_ > at
                               ? worker.silent_since_ - at
                               : at - worker.silent_since_;
        auto const add = [&](std::string const& group)
        {
            auto& vms = groups[group];
            vms.first.insert(worker.entry_.vm_);
            if (apart < common_cause_time)
            {
                vms.second.insert(worker.entry_.vm_);
            }
        };
        for (auto const& label : worker.entry_.labels_)
        {
            if (lost.entry_.labels_.count(label) != 0)
            {
                add("label " + label);
            }
        }
        if (worker.entry_.data_centre_ == lost.entry_.data_centre_)
        {
            add("data centre");
        }
    }
    return std::any_of(groups.begin(), groups.end(),
                       [](auto const& group)
                       {
                           auto const silent = group.second.second.size();
                           return silent >= min_common_cause_workers &&
                                  2 * silent >= group.second.first.size();
                       });
}

void cell::count_crash(worker_state& worker, bool can_be_proof, time_point now,
                       worker_report const& survivors,
                       std::set<task_id> const& kept)
{
    auto const crashed_at =
        worker.unanswered_renewals_ > 0 ? worker.silent_since_ : now;
    auto suspects = worker.lost_runs_;
    forget_losses(worker);
    for (auto const& run : suspects_of(worker, kept, crashed_at))
    {
        suspects.insert(run);
    }
    for (auto run = suspects.begin(); run != suspects.end();)
    {
        auto const at = find(run->first);
        bool const counts = at && !at.job_->ended() &&
                            at.task_->phase_ != task_phase::done &&
                            run->second > at.task_->acquitted_run_ &&
                            !lists(survivors, run->first, run->second);
        run = counts ? std::next(run) : suspects.erase(run);
    }
    if (suspects.empty() || is_planned_end(worker, crashed_at))
    {
        return;
    }
    bool const has_cause = has_common_cause(worker, crashed_at);
    log_event("worker_crashed", worker.entry_.id_,
              "suspects=" + std::to_string(suspects.size()) +
                  " common_cause=" + (has_cause ? "1" : "0"));
    std::uint32_t most = 0;
    std::uint32_t tasks_with_most = 0;
    for (auto const& run : suspects)
    {
        auto const crashes = ++find(run.first).task_->crashes_;
        tasks_with_most = crashes > most    ? 1
                          : crashes == most ? tasks_with_most + 1
                                            : tasks_with_most;
        most = std::max(most, crashes);
    }
    bool const has_prime = tasks_with_most == 1 && can_be_proof && !has_cause;
    for (auto const& run : suspects)
    {
        auto const at = find(run.first);
        if (at.task_->begun_runs_.contains(run.second))
        {
            ++at.task_->begun_crashes_;
            at.task_->prime_crashes_ +=
                has_prime && at.task_->crashes_ == most ? 1 : 0;
        }
        judge_crash(run.first, at, worker.entry_.id_, now);
    }
}

void cell::judge_crash(task_id const& task, task_location const& at,
                       std::string const& worker, time_point now)
{
    store_crashes(*at.job_, task);
    log_event("task_suspected", describe(task),
              worker + " run=" + std::to_string(at.task_->run_) +
                  " crashes=" + std::to_string(at.task_->crashes_) +
                  " prime=" + std::to_string(at.task_->prime_crashes_) +
                  " begun=" + std::to_string(at.task_->begun_crashes_));
    give_up_if_due(task, at, now);
}

void cell::give_up_if_due(task_id const& task, task_location const& at,
                          time_point now)
{
    if (is_given_up(*at.task_, at.shape_->long_running_))
    {
        fail_job(*at.job_,
                 describe(task) +
                     " crashes=" + std::to_string(at.task_->crashes_),
                 now);
    }
}

crash_counts cell::crash_counts_of(job_state const& job, block_number block)
{
    crash_counts counts;
    for (auto const& task :
         job.blocks_.tasks_of(block, job.occurrences_.size()))
    {
        auto const& state = task_of(job, task);
        if (state.crashes_ > 0)
        {
            counts[task] = {state.crashes_, state.prime_crashes_};
        }
    }
    return counts;
}

task_numbers cell::start_counts_of(job_state const& job, block_number block)
{
    task_numbers counts;
    for (auto const& task :
         job.blocks_.tasks_of(block, job.occurrences_.size()))
    {
        auto const used = task_of(job, task).start_budget_.used();
        if (used > 0)
        {
            counts[task] = used;
        }
    }
    return counts;
}

lost_runs cell::lost_runs_of(std::string const& id, job_state const& job,
                             block_number block) const
{
    std::map<std::pair<task_id, std::string>, lost_run> found;
    job_id const job_name{id};
    auto const add = [&](worker_state const& worker,
                         std::map<task_id, std::uint32_t> const& runs,
                         bool lost_run::*trait)
    {
        for (auto place = runs.lower_bound({job_name, 0, 0, 0});
             place != runs.end() && place->first.job_ == job_name; ++place)
        {
            // Crashes of acquitted runs do not count.
            bool const is_settled =
                trait == &lost_run::is_suspected_ &&
                place->second <= task_of(job, place->first).acquitted_run_;
            if (job.blocks_.block_of(place->first) == block && !is_settled)
            {
                auto& run = found[{place->first, worker.entry_.id_}];
                run.task_ = place->first;
                run.run_ = place->second;
                run.*trait = true;
                run.worker_ = worker.entry_.id_;
                run.vm_ = worker.entry_.vm_;
            }
        }
    };
    for (auto const& item : workers_)
    {
        add(item.second, item.second.lapsed_runs_, &lost_run::is_counted_);
        add(item.second, item.second.lost_runs_, &lost_run::is_suspected_);
    }
    lost_runs runs;
    for (auto const& item : found)
    {
        runs.push_back(item.second);
    }
    return runs;
}

void cell::store_lost_runs(job_state& job, task_id const& task)
{
    if (!job.ended())
    {
        job.loss_records_.changed_.insert(job.blocks_.block_of(task));
        mark_dirty(job, task);
    }
}

void cell::forget_lost_runs(job_id const& job)
{
    for (auto& item : workers_)
    {
        for (auto* const runs :
             {&item.second.lapsed_runs_, &item.second.lost_runs_})
        {
            auto place = runs->lower_bound({job, 0, 0, 0});
            while (place != runs->end() && place->first.job_ == job)
            {
                place = runs->erase(place);
            }
        }
    }
}

void cell::append_count_records(std::string const& id, job_state& job,
                                block_number block, cell_batch& batch)
{
    append_counts(
        record_kind::crashes, id, job.ended(), block, job.crash_records_,
        [&] { return crash_counts_of(job, block); }, batch);
    append_counts(
        record_kind::starts, id, job.ended(), block, job.start_records_,
        [&] { return start_counts_of(job, block); }, batch);
    append_counts(
        record_kind::losses, id, job.ended(), block, job.loss_records_,
        [&] { return lost_runs_of(id, job, block); }, batch);
    append_counts(
        record_kind::confirmed_runs, id, job.ended(), block,
        job.confirmation_records_,
        [&] { return confirmed_runs_of(job, block); }, batch);
}

job_state* cell::find_counted(record_kind kind, std::string const& name)
{
    auto const found = jobs_.find(parse_block_name(name).first.text());
    if (found == jobs_.end() || found->second.ended() ||
        !found->second.request_)
    {
        delete_record(kind, name);
        return nullptr;
    }
    return &found->second;
}

void cell::restore_crash_counts(std::string const& name,
                                std::string const& text, time_point now)
{
    auto* const job = find_counted(record_kind::crashes, name);
    if (job == nullptr)
    {
        return;
    }
    auto const id = parse_block_name(name);
    job->crash_records_.stored_.insert(id.second);
    for (auto const& item : decode_crash_counts(text))
    {
        task_id task = item.first;
        task.job_ = id.first;
        auto const at = find(task);
        if (at)
        {
            at.task_->crashes_ = item.second.all_;
            at.task_->prime_crashes_ = item.second.prime_;
            at.task_->begun_crashes_ = item.second.prime_;
            at.task_->waiting_since_ = now;
            if (at.task_->isolation_ == task_isolation::none)
            {
                begin_isolation(*at.task_, required_isolation(*at.task_, now));
            }
            give_up_if_due(task, at, now);
            if (job->blocks_.block_of(task) != id.second)
            {
                // The record is of a program that wrote one for all tasks.
                store_crashes(*job, task);
                job->crash_records_.changed_.insert(id.second);
                mark_dirty(*job);
            }
        }
    }
}

void cell::restore_start_counts(std::string const& name,
                                std::string const& text)
{
    auto* const job = find_counted(record_kind::starts, name);
    if (job == nullptr)
    {
        return;
    }
    auto const id = parse_block_name(name);
    job->start_records_.stored_.insert(id.second);
    for (auto const& item : decode_task_numbers(text))
    {
        task_id task = item.first;
        task.job_ = id.first;
        auto const at = find(task);
        if (at)
        {
            bool const is_on_worker = !at.task_->worker_.empty();
            at.task_->start_budget_.restore(item.second,
                                            is_on_worker ? at.task_->run_ : 0);
            auto const block = job->blocks_.block_of(task);
            if (block != id.second)
            {
                job->start_records_.changed_.insert({block, id.second});
                mark_dirty(*job, task);
                mark_dirty(*job);
            }
        }
    }
}

void cell::restore_lost_runs(std::string const& name, std::string const& text,
                             time_point now)
{
    auto* const job = find_counted(record_kind::losses, name);
    if (job == nullptr)
    {
        return;
    }
    auto const id = parse_block_name(name);
    job->loss_records_.stored_.insert(id.second);
    for (auto const& run : decode_lost_runs(text))
    {
        task_id task = run.task_;
        task.job_ = id.first;
        auto const at = find(task);
        if (!at || at.task_->phase_ == task_phase::done)
        {
            continue;
        }
        auto& worker = ensure_worker(run.worker_, now);
        worker.lost_at_ = now;
        if (worker.entry_.vm_.empty() && !run.vm_.empty())
        {
            worker.entry_.vm_ = run.vm_;
            vm_workers_[run.vm_].push_back(run.worker_);
        }
        if (run.is_counted_)
        {
            worker.lapsed_runs_[task] = run.run_;
        }
        if (run.is_suspected_ &&
            worker.lost_runs_.emplace(task, run.run_).second)
        {
            ++at.task_->unexplained_losses_;
        }
        log_event("lost_run_restored", describe(task),
                  run.worker_ + " run=" + std::to_string(run.run_) +
                      " counted=" + std::to_string(run.is_counted_) +
                      " suspected=" + std::to_string(run.is_suspected_));
    }
}

void cell::update_budget(task_id const& task, task_location const& at,
                         void (start_budget::*event)(std::uint32_t) noexcept,
                         std::uint32_t run)
{
    auto& budget = at.task_->start_budget_;
    auto const before = budget.used();
    (budget.*event)(run);
    if (budget.used() != before && !at.job_->ended())
    {
        at.job_->start_records_.changed_.insert(
            at.job_->blocks_.block_of(task));
        mark_dirty(*at.job_, task);
    }
}

std::map<task_id, std::uint32_t>
cell::count_lost_runs(worker_state const& worker, time_point now,
                      worker_report const& survivors,
                      std::set<task_id> const& kept)
{
    std::map<task_id, std::uint32_t> counted;
    auto const lost_at =
        worker.unanswered_renewals_ > 0 ? worker.silent_since_ : now;
    if (is_planned_end(worker, lost_at))
    {
        return counted;
    }
    for (auto const& task : worker.tasks_)
    {
        auto const at = find(task);
        bool const counts = at && kept.count(task) == 0 &&
                            !at.shape_->long_running_ &&
                            at.task_->phase_ != task_phase::placed &&
                            !lists(survivors, task, at.task_->run_);
        if (counts)
        {
            update_budget(task, at, &start_budget::on_lost, at.task_->run_);
            counted.emplace(task, at.task_->run_);
            if (at.task_->phase_ == task_phase::starting)
            {
                lost_starts_.emplace(task, at.task_->run_);
            }
        }
    }
    return counted;
}

void cell::forgive_lapsed_runs(worker_state& worker)
{
    for (auto const& run : worker.lapsed_runs_)
    {
        lost_starts_.erase(run);
        auto const at = find(run.first);
        if (at)
        {
            update_budget(run.first, at, &start_budget::on_worker_found,
                          run.second);
        }
    }
    settle_lapsed_runs(worker);
}

void cell::settle_lapsed_runs(worker_state& worker)
{
    for (auto const& run : std::exchange(worker.lapsed_runs_, {}))
    {
        auto const at = find(run.first);
        if (at)
        {
            store_lost_runs(*at.job_, run.first);
        }
    }
}

void cell::forgive_lost_start(std::string const& worker, task_id const& task,
                              std::uint32_t run)
{
    auto const at = find(task);
    if (!at)
    {
        return;
    }
    log_event("start_not_carried_out", describe(task),
              worker + " run=" + std::to_string(run));
    update_budget(task, at, &start_budget::on_worker_found, run);
    auto const found = workers_.find(worker);
    if (found != workers_.end())
    {
        found->second.lapsed_runs_.erase(task);
        store_lost_runs(*at.job_, task);
    }
    placement_due_ = true;
}

bool cell::may_be_forgiven(task_id const& task, time_point now) const
{
    auto const start = lost_starts_.lower_bound({task, 0});
    if (start != lost_starts_.end() && start->first == task)
    {
        return true;
    }
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& worker)
                       {
                           return worker.second.lapsed_runs_.count(task) != 0 &&
                                  now - worker.second.lost_at_ <= max_loss_age;
                       });
}

void cell::clear_crashes(task_id const& id, task_location const& at)
{
    auto& job = *at.job_;
    auto& task = *at.task_;
    task.acquitted_run_ = task.run_;
    if (task.unexplained_losses_ > 0)
    {
        store_lost_runs(job, id);
    }
    if (task.crashes_ > 0)
    {
        log_event("crashes_cleared", job.request_->id_.text(),
                  "run=" + std::to_string(task.run_) +
                      " crashes=" + std::to_string(task.crashes_));
        task.crashes_ = 0;
        task.prime_crashes_ = 0;
        task.begun_crashes_ = 0;
        store_crashes(job, id);
    }
}

void cell::begin_isolation(task_state& task, task_isolation isolation)
{
    auto const worker = workers_.find(task.worker_);
    if (worker == workers_.end() || isolation == task_isolation::none ||
        isolation == task_isolation::waived)
    {
        return;
    }
    task.isolation_ = isolation;
    ++worker->second.suspected_tasks_;
    worker->second.runs_alone_ = isolation != task_isolation::grouped;
    worker->second.isolated_until_ = {};
}

void cell::end_isolation(worker_state& worker, task_state& task)
{
    if (task.isolation_ != task_isolation::none)
    {
        --worker.suspected_tasks_;
        worker.runs_alone_ = false;
        task.isolation_ = task_isolation::none;
    }
}

} // namespace cuminfold
