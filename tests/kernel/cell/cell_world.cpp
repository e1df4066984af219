#include "kernel/cell/cell_world.hpp"

#include "wire/cell_codec.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminfold
{

namespace
{

using std::chrono::milliseconds;

constexpr duration step_interval = milliseconds{10};
constexpr duration one_way_latency = milliseconds{1};
constexpr duration call_timeout = milliseconds{300};
/// When a late call is executed, from when it was sent.
constexpr milliseconds min_late_delay{2000};
constexpr milliseconds max_late_delay{12'000};
/// Half of the late calls are executed earlier than this, so that many late
/// starts still find their lease valid.
constexpr milliseconds max_lease_late_delay{4000};
constexpr duration append_latency = milliseconds{12};
/// Interval at which a worker writes its entry.
constexpr duration entry_interval = milliseconds{1500};
/// Interval at which the owner reads the entries.
constexpr duration entry_read_interval = milliseconds{30};
/// Interval between two lists of VMs.
constexpr duration vm_list_interval = milliseconds{500};
/// After this many crashes a task may have fewer further starts than
/// `max_starts_after_crashes`.
constexpr std::uint32_t crashes_before_limit = 3;
constexpr std::uint32_t max_starts_after_crashes = 3;
/// A job may be given up once a task had this many runs that have begun or may
/// have: three that were lost, and two more.
constexpr std::uint32_t min_runs_to_give_up = 5;
/// A job may be given up once this many workers that a task had begun on have
/// crashed. After five crashes the task may have begun without an answer.
constexpr std::uint32_t min_crashes_to_give_up = 2;
constexpr std::uint32_t max_crashes_of_any_kind = 5;
/// How long a VM is down that moves to another pool.
constexpr milliseconds move_time{1000};
/// How long an expired entry is missing.
constexpr duration entry_absence = milliseconds{1500};
constexpr std::uint32_t max_attempts = 3;
/// How long a run lasts on a worker that fails every run.
constexpr duration failing_run_time = milliseconds{50};
/// Time from an acknowledged cancellation after which no task may start.
constexpr duration cancel_grace = milliseconds{3000};
/// A task that does not run counts as unavailable after this time, whatever
/// ended it.
constexpr duration unavailable_time = milliseconds{4500};
/// A stop that is executed later than this after it was sent was held up.
constexpr duration held_up_time = milliseconds{1000};
pool_name const pool{"tally"};

static_assert(max_late_delay + call_timeout <= cell_world::max_call_delay);

/// The answer that an owner sees.
/// @param clock of the worker that executed the order, if one did
order_answer answer_of(call_outcome outcome,
                       std::optional<worker_clock> const& clock)
{
    bool const is_answered =
        outcome != call_outcome::no_answer && outcome != call_outcome::not_sent;
    return {outcome, is_answered ? clock : std::nullopt};
}

/// Resources that a run uses of its worker. A best-effort task has no processor
/// time of its own.
resource_amount usage_of(job_step const& shape)
{
    auto usage = shape.each_;
    usage.cpu_milli_ = shape.best_effort_ ? 0 : usage.cpu_milli_;
    return usage;
}

} // namespace

cell_world::cell_world(std::uint32_t seed, std::uint32_t workers,
                       restart_ids ids, milliseconds max_lease)
    : random_(seed), ids_(ids), max_lease_(max_lease), registered_(workers),
      previous_entries_(workers)
{
    config_.version_ = 1;
    queue_route route;
    route.name_ = "queue";
    route.pool_ = pool;
    route.max_attempts_ = max_attempts;
    route.stretch_ = 4;
    route.objective_ = std::chrono::seconds{30};
    config_.routes_.push_back(route);
    config_.pools_[pool] = {};
    incarnations_.resize(workers, 0);
    for (std::uint32_t i = 0; i < workers; ++i)
    {
        workers_.push_back(make_worker(i));
        registered_[i] = workers_[i]->entry_;
    }
    take_over();
}

std::unique_ptr<fake_worker> cell_world::make_worker(std::uint32_t number) const
{
    auto worker = std::make_unique<fake_worker>(entry(number), now_);
    worker->max_lease_ = max_lease_;
    return worker;
}

worker_registration cell_world::entry(std::uint32_t number) const
{
    worker_registration entry;
    auto const incarnation = incarnations_[number];
    bool const keeps_id = ids_ == restart_ids::kept;
    entry.id_ = "w" + std::to_string(number) + "-" +
                std::to_string(keeps_id ? 0 : incarnation);
    if (keeps_id)
    {
        auto const since = std::chrono::seconds{incarnation};
        entry.incarnation_start_ = calendar_time{std::chrono::hours{1}} +
                                   (calendars_step_back_ ? -since : since);
    }
    entry.address_ = entry.id_;
    entry.pool_ = pool;
    entry.vm_ = vm_id{"vm" + std::to_string(number)};
    entry.size_ = {16'000, 65'536, 0};
    return entry;
}

job_step cell_world::make_step(std::uint32_t tasks, std::int64_t cpu_milli,
                               milliseconds time)
{
    job_step step;
    step.tasks_ = tasks;
    step.each_.cpu_milli_ = cpu_milli;
    step.estimate_ = time;
    return step;
}

bool cell_world::chance(std::uint32_t percent)
{
    return random_() % 100 < percent;
}

void cell_world::schedule(time_point when, std::function<void()> what)
{
    events_.emplace(when, std::move(what));
}

fake_worker* cell_world::find(std::string const& id)
{
    for (auto const& worker : workers_)
    {
        if (worker->entry_.id_ == id)
        {
            return worker.get();
        }
    }
    return nullptr;
}

void cell_world::submit(std::string const& id, std::vector<job_step> steps,
                        std::uint32_t occurrences)
{
    job_definition job;
    job.id_ = job_id{id};
    job.route_ = "queue";
    job.pool_ = pool;
    job.text_ = "text of " + id;
    job.steps_ = std::move(steps);
    job.occurrences_ = occurrences;
    job.workspace_ = workspace_.empty()
                         ? nullptr
                         : std::make_shared<workspace_name const>(workspace_);
    has_gangs_ = has_gangs_ ||
                 std::any_of(job.steps_.begin(), job.steps_.end(),
                             [](job_step const& step) { return step.gang_; });
    submitted_[id] = job;
    submitted_at_[id] = now_;
    auto const exchange = next_exchange_++;
    exchanges_[exchange] = id;
    cell_->submit(exchange, config_.routes_[0], job, std::chrono::seconds{30},
                  now_);
    process();
}

answer_kind cell_world::query(std::string const& id, job_caller const& from)
{
    auto const exchange = next_exchange_++;
    auto const name = "query " + std::to_string(exchange);
    exchanges_[exchange] = name;
    cell_->query(exchange, job_id{id}, from);
    process();
    return answers_.at(name).back();
}

void cell_world::cancel(std::string const& id)
{
    auto const exchange = next_exchange_++;
    exchanges_[exchange] = "cancel " + id;
    cancelled_.insert(id);
    cell_->cancel(exchange, job_id{id}, now_);
    process();
}

void cell_world::take_over()
{
    ++epoch_;
    append_in_flight_ = false;
    cell_options options;
    options.min_stall_timeout_ = std::chrono::seconds{60};
    options.max_job_memory_ = max_job_memory_;
    options.job_ranking_ = job_ranking_;
    options.longest_lease_ = max_lease_;
    cell_ = std::make_unique<cell>(options, now_);
    cell_->set_config(config_);
    for (auto const& job : stored_jobs_)
    {
        cell_->restore(job.second, now_);
    }
    for (auto const& progress : stored_progress_)
    {
        cell_->restore_progress(progress.first, progress.second, now_);
    }
    for (auto const& crashes : stored_texts_[record_kind::crashes])
    {
        if (!crashes.second.empty())
        {
            cell_->restore_crash_counts(crashes.first, crashes.second, now_);
        }
    }
    for (auto const& starts : stored_texts_[record_kind::starts])
    {
        if (!starts.second.empty())
        {
            cell_->restore_start_counts(starts.first, starts.second);
        }
    }
    for (auto const& runs : stored_texts_[record_kind::confirmed_runs])
    {
        if (!runs.second.empty())
        {
            cell_->restore_confirmed_runs(runs.first, runs.second);
        }
    }
    for (auto const& policy : stored_texts_[record_kind::policy])
    {
        cell_->restore_policy(policy.first, policy.second);
    }
    for (auto const& losses : stored_texts_[record_kind::losses])
    {
        if (!losses.second.empty())
        {
            cell_->restore_lost_runs(losses.first, losses.second, now_);
        }
    }
    for (auto const& start : stored_texts_[record_kind::incarnation])
    {
        if (!start.second.empty())
        {
            cell_->restore_incarnation(start.first, start.second, now_);
        }
    }
    for (auto const& lease : stored_texts_[record_kind::foreign_lease])
    {
        cell_->restore_foreign_lease(lease.first, lease.second, now_);
    }
    if (has_entries_)
    {
        list_workers();
    }
    cell_->finish_restore(now_);
}

void cell_world::list_workers()
{
    for (std::uint32_t i = 0; i < worker_count(); ++i)
    {
        auto const& present = workers_[i]->entry_;
        bool const is_registered =
            ids_ == restart_ids::changed ||
            registered_[i].incarnation_start_ == present.incarnation_start_;
        cell_->on_worker_listed(is_registered ? present : registered_[i], now_);
    }
}

void cell_world::register_worker(std::uint32_t number)
{
    registered_[number] = workers_[number]->entry_;
    cell_->on_worker_listed(registered_[number], now_);
}

void cell_world::crash(std::uint32_t worker)
{
    auto const old = workers_[worker]->entry_.id_;
    bool const was_cut = workers_[worker]->disconnected_;
    previous_entries_[worker] = workers_[worker]->entry_;
    count_crash(*workers_[worker]);
    ++incarnations_[worker];
    workers_[worker] = make_worker(worker);
    workers_[worker]->disconnected_ = was_cut;
    // The store lists the earlier incarnation until its entry expires.
    schedule(now_ + registration_delay_,
             [this, worker] { register_worker(worker); });
    if (old != workers_[worker]->entry_.id_)
    {
        schedule(now_ + milliseconds{4500},
                 [this, old] { cell_->on_worker_unlisted(old, now_); });
    }
}

void cell_world::list_previous_incarnation(std::uint32_t worker)
{
    if (previous_entries_[worker].address_.empty())
    {
        return;
    }
    cell_->on_worker_listed(previous_entries_[worker], now_);
    schedule(now_ + registration_delay_, [this, worker]
             { cell_->on_worker_listed(workers_[worker]->entry_, now_); });
}

void cell_world::crash_for(std::uint32_t worker, milliseconds down_time)
{
    auto& crashed = *workers_[worker];
    if (crashed.is_down_)
    {
        return;
    }
    crashed.is_down_ = true;
    count_crash(crashed);
    crashed.running_.clear();
    crashed.ended_runs_.clear();
    crashed.ends_.clear();
    schedule(now_ + down_time, [this, worker] { crash(worker); });
}

void cell_world::count_crash(fake_worker const& crashed)
{
    for (auto const& run : crashed.running_)
    {
        ++crashes_after_begin_[describe(run.first)];
    }
    for (auto const& run : crashed.ended_runs_)
    {
        if (crashed.running_.count(run.first) == 0)
        {
            ++crashes_after_begin_[describe(run.first)];
        }
    }
}

void cell_world::crash_under(task_id const& task, std::string const& worker)
{
    for (std::uint32_t i = 0; i < worker_count(); ++i)
    {
        auto const& running = workers_[i]->running_;
        if (workers_[i]->entry_.id_ != worker || running.count(task) == 0)
        {
            continue;
        }
        ++crashes_[task];
        for (auto const& run : running)
        {
            runs_lost_[run.first] += deadly_.count(run.first) == 0 ? 1 : 0;
        }
        crash_for(i, deadly_down_time_);
    }
}

std::uint32_t cell_world::crashes_by(task_id const& task) const
{
    auto const found = crashes_.find(task);
    return found == crashes_.end() ? 0 : found->second;
}

std::uint32_t cell_world::most_runs_lost() const
{
    std::uint32_t most = 0;
    for (auto const& item : runs_lost_)
    {
        most = std::max(most, item.second);
    }
    return most;
}

void cell_world::end_runs(std::uint32_t worker)
{
    for (auto& run : workers_[worker]->running_)
    {
        run.second.fails_ = true;
        run.second.ends_ = now_;
    }
}

void cell_world::expire_entry(std::uint32_t worker)
{
    cell_->on_worker_unlisted(workers_[worker]->entry_.id_, now_);
    schedule(now_ + entry_absence, [this, worker]
             { cell_->on_worker_listed(workers_[worker]->entry_, now_); });
}

void cell_world::drain(std::uint32_t worker)
{
    workers_[worker]->entry_.draining_ = true;
    cell_->on_worker_listed(workers_[worker]->entry_, now_);
}

void cell_world::resize(std::uint32_t worker, resource_amount const& size,
                        milliseconds report_delay)
{
    auto& entry = workers_[worker]->entry_;
    former_sizes_[entry.id_].emplace_back(now_, entry.size_);
    entry.size_ = size;
    schedule(now_ + report_delay, [this, worker]
             { cell_->on_worker_listed(workers_[worker]->entry_, now_); });
}

void cell_world::move(std::uint32_t worker)
{
    auto const vm = workers_[worker]->entry_.vm_;
    cell_->reserve(vm);
    cell_->on_vm_order_sent(vm, now_);
    crash_for(worker, move_time);
    schedule(now_ + move_time + registration_delay_,
             [this, vm] { cell_->end_reservation(vm, now_); });
}

void cell_world::cut(std::uint32_t worker, bool cut)
{
    workers_[worker]->disconnected_ = cut;
}

void cell_world::list_vms()
{
    std::map<vm_id, listed_vm> vms;
    for (auto const& worker : workers_)
    {
        listed_vm vm;
        vm.vm_ = worker->entry_.vm_;
        vm.status_ = worker->is_down_ ? vm_status::down : vm_status::up;
        vm.worker_ = worker->is_down_ ? "" : worker->entry_.id_;
        cell_->on_vm_listed(vm.vm_, vm.worker_, now_, now_);
        vms[vm.vm_] = vm;
    }
    cell_->on_vms_listed(vms, now_);
}

void cell_world::repeat_entries()
{
    for (std::uint32_t i = 0; i < worker_count(); ++i)
    {
        auto const& worker = *workers_[i];
        auto const& start = worker.entry_.incarnation_start_;
        bool const is_written = !worker.is_down_ && has_entries_ &&
                                !entries_stale_ && !are_cut_from_store_ &&
                                registered_[i].incarnation_start_ == start;
        if (is_written)
        {
            cell_->on_entry_repeated(worker.entry_.id_, start,
                                     now_ - entry_read_interval);
        }
    }
}

std::uint32_t cell_world::token_offset_of(std::uint32_t worker) const
{
    auto const& known = cell_->workers();
    auto const found = known.find(workers_[worker]->entry_.id_);
    return found == known.end() ? 0 : found->second.token_offset_;
}

void cell_world::force_start(std::uint32_t worker, task_id const& task,
                             std::optional<milliseconds> time)
{
    auto const& job = submitted_.at(task.job_.text());
    start_run order;
    order.worker_ = workers_[worker]->entry_.id_;
    order.task_ = task;
    order.run_ = 99;
    order.token_offset_ = token_offset_of(worker);
    order.job_ = std::make_shared<job_definition const>(job);
    order.lease_until_ = workers_[worker]->clock(now_) + milliseconds{60'000};
    fake_worker::run planned;
    planned.used_ = usage_of(job.steps_[task.step_]);
    planned.began_ = now_;
    planned.ends_ = time ? now_ + *time : time_point::max();
    auto const outcome =
        workers_[worker]->start(token_of(order), order, planned, now_);
    if (outcome == call_outcome::accepted)
    {
        check_start(order, *workers_[worker], now_);
    }
}

void cell_world::force_stop(std::uint32_t worker, task_id const& task)
{
    auto& on = *workers_[worker];
    auto const run = on.running_.at(task).number_;
    stop_run order;
    order.token_offset_ = token_offset_of(worker);
    on.stop(token_of(order), task, run, now_);
    check_stop(on, task, run, now_);
}

std::string cell_world::violations() const
{
    std::string lines;
    for (auto const& breach : violations_)
    {
        lines += breach + "\n";
    }
    return lines;
}

bool cell_world::has_violation(std::string const& rule) const
{
    return std::any_of(violations_.begin(), violations_.end(),
                       [&](std::string const& breach)
                       { return breach.rfind(rule, 0) == 0; });
}

void cell_world::run_for(duration time)
{
    auto const end = now_ + time;
    while (now_ < end)
    {
        step();
    }
}

void cell_world::step()
{
    now_ += step_interval;
    while (!events_.empty() && events_.begin()->first <= now_)
    {
        auto const what = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        what();
    }
    if (has_gangs_)
    {
        break_gangs();
    }
    for (auto const& worker : workers_)
    {
        worker->advance(now_);
    }
    record_ends();
    if (lists_vms_ && now_ >= next_vm_list_)
    {
        next_vm_list_ = now_ + vm_list_interval;
        list_vms();
    }
    if (!store_down_)
    {
        cell_->on_epoch_confirmed(now_);
        if (now_ >= next_entries_)
        {
            next_entries_ = now_ + entry_interval;
            repeat_entries();
        }
    }
    if (!entries_stale_)
    {
        cell_->on_entries_read(now_);
    }
    process();
}

void cell_world::break_gangs()
{
    std::map<std::pair<step_id, std::uint32_t>, std::set<std::uint32_t>>
        running;
    for (auto const& worker : workers_)
    {
        for (auto const& run : worker->running_)
        {
            auto const& task = run.first;
            auto const& job = submitted_.at(task.job_.text());
            if (job.steps_[task.step_].gang_)
            {
                running[{{task.job_, task.occurrence_, task.step_},
                         run.second.number_}]
                    .insert(task.index_);
            }
        }
    }
    for (auto const& gang : running)
    {
        auto& begun = gang_members_[gang.first];
        begun.insert(gang.second.begin(), gang.second.end());
        if (begun == gang.second || tasks_done_[gang.first.first] > 0)
        {
            continue;
        }
        for (auto const& worker : workers_)
        {
            for (auto const index : gang.second)
            {
                auto const& step = gang.first.first;
                task_id const task{step.job_, step.occurrence_, step.step_,
                                   index};
                auto const run = worker->running_.find(task);
                if (run != worker->running_.end() &&
                    run->second.number_ == gang.first.second)
                {
                    worker->break_run(task);
                }
            }
        }
    }
}

void cell_world::process()
{
    cell_->tick(now_, calendar_time{});
    if (!append_in_flight_)
    {
        if (auto const batch = cell_->next_batch(now_))
        {
            append_in_flight_ = true;
            store(*batch);
        }
    }
    for (auto const& action : cell_->take_actions())
    {
        std::visit([this](auto const& each) { carry_out(each); }, action);
    }
}

void cell_world::store(cell_record const& record)
{
    auto const set = [&record](auto& stored, auto const& value)
    {
        if (value)
        {
            stored[record.name_] = *value;
        }
        else
        {
            stored.erase(record.name_);
        }
    };
    switch (record.kind_)
    {
    case record_kind::request:
        set(stored_jobs_, record.request_);
        return;
    case record_kind::progress:
        set(stored_progress_, record.progress_);
        return;
    case record_kind::vm_order:
    case record_kind::wave:
    case record_kind::crashes:
    case record_kind::starts:
    case record_kind::losses:
    case record_kind::policy:
    case record_kind::incarnation:
    case record_kind::foreign_lease:
    case record_kind::confirmed_runs:
        set(stored_texts_[record.kind_], record.text_);
        return;
    }
}

void cell_world::merge_blocks()
{
    std::map<std::string, job_progress> merged;
    for (auto& each : stored_progress_)
    {
        auto& progress = merged[parse_block_name(each.first).first.text()];
        if (each.first.find('.') == std::string::npos)
        {
            progress.status_ = each.second.status_;
        }
        std::move(each.second.tasks_.begin(), each.second.tasks_.end(),
                  std::back_inserter(progress.tasks_));
    }
    stored_progress_ = std::move(merged);
}

void cell_world::forget_progress(task_id const& task)
{
    for (auto& row : stored_progress_.at(task.job_.text()).tasks_)
    {
        if (row.task_.occurrence_ == task.occurrence_ &&
            row.task_.step_ == task.step_ && row.task_.index_ == task.index_)
        {
            row.done_ = false;
            row.worker_.clear();
        }
    }
}

void cell_world::measure(cell_batch const& batch)
{
    constexpr std::size_t key_bytes = 40;
    std::size_t bytes = 0;
    for (auto const& record : batch.records_)
    {
        auto const size = record.request_ ? encode_job(*record.request_)
                          : record.progress_
                              ? encode_progress(*record.progress_)
                              : record.text_.value_or("");
        largest_record_ = std::max(largest_record_, size.size());
        bytes += size.size() + key_bytes;
    }
    largest_batch_ = std::max(largest_batch_, bytes);
}

void cell_world::store(cell_batch const& batch)
{
    if (measures_records_)
    {
        measure(batch);
    }
    schedule(now_ + append_latency,
             [this, batch, epoch = epoch_]
             {
                 if (epoch != epoch_)
                 {
                     return;
                 }
                 if (store_down_)
                 {
                     store(batch);
                     return;
                 }
                 for (auto const& record : batch.records_)
                 {
                     store(record);
                 }
                 append_in_flight_ = false;
                 cell_->on_batch_stored(now_);
                 process();
             });
}

std::map<std::string, std::string>
cell_world::stored_texts(record_kind kind) const
{
    auto const found = stored_texts_.find(kind);
    return found == stored_texts_.end() ? std::map<std::string, std::string>{}
                                        : found->second;
}

void cell_world::call(std::string const& address, bool may_be_late,
                      std::function<call_outcome()> execute, call_end done)
{
    auto const epoch = epoch_;
    auto const answer = [this, epoch, done](call_outcome outcome)
    {
        if (epoch == epoch_)
        {
            done(outcome);
            process();
        }
    };
    auto* const worker = find(address);
    if (worker == nullptr && reuses_addresses_)
    {
        schedule(now_ + 2 * one_way_latency,
                 [answer] { answer(call_outcome::incarnation_mismatch); });
        return;
    }
    if (worker == nullptr || worker->disconnected_)
    {
        auto const outcome = worker == nullptr && refuses_connections_
                                 ? call_outcome::not_sent
                                 : call_outcome::no_answer;
        schedule(now_ + call_timeout, [answer, outcome] { answer(outcome); });
        return;
    }
    if (worker->is_down_)
    {
        schedule(now_ + 2 * one_way_latency,
                 [answer] { answer(call_outcome::not_sent); });
        return;
    }
    auto const run = [this, address, execute]
    {
        auto const* const reached = find(address);
        return reached == nullptr || reached->disconnected_ || reached->is_down_
                   ? call_outcome::no_answer
                   : execute();
    };
    if (may_be_late && chance(faults_.calls_late_))
    {
        auto const max_delay =
            chance(50) ? max_lease_late_delay : max_late_delay;
        auto const delay =
            min_late_delay +
            milliseconds{random_() % (max_delay - min_late_delay).count()};
        schedule(now_ + delay, [run] { run(); });
        schedule(now_ + call_timeout,
                 [answer] { answer(call_outcome::no_answer); });
        return;
    }
    if (chance(faults_.calls_lost_))
    {
        schedule(now_ + call_timeout,
                 [answer] { answer(call_outcome::no_answer); });
        return;
    }
    bool const lost = chance(faults_.answers_lost_);
    schedule(now_ + one_way_latency,
             [this, address, run, answer, lost]
             {
                 auto const outcome = run();
                 bool const silent = lost || outcome == call_outcome::no_answer;
                 schedule(now_ + (silent ? call_timeout : one_way_latency),
                          [this, address, answer, outcome, silent]
                          {
                              // A crash breaks the connection.
                              auto const* const reached = find(address);
                              bool const is_broken =
                                  reached == nullptr || reached->is_down_;
                              answer(silent || is_broken
                                         ? call_outcome::no_answer
                                         : outcome);
                          });
             });
}

void cell_world::call_later(std::string const& address, duration delay,
                            std::function<call_outcome()> execute,
                            call_end done)
{
    auto const answer =
        [this, epoch = epoch_, done = std::move(done)](call_outcome outcome)
    {
        if (epoch == epoch_)
        {
            done(outcome);
            process();
        }
    };
    auto const* const worker = find(address);
    if (worker == nullptr || worker->disconnected_)
    {
        schedule(now_ + call_timeout,
                 [answer] { answer(call_outcome::no_answer); });
        return;
    }
    bool const is_in_time = delay < call_timeout;
    schedule(now_ + delay,
             [this, address, execute, answer, is_in_time]
             {
                 auto const* const reached = find(address);
                 auto const outcome = reached == nullptr || reached->is_down_
                                          ? call_outcome::no_answer
                                          : execute();
                 if (is_in_time)
                 {
                     bool const is_answered =
                         reached != nullptr && !reached->disconnected_;
                     answer(is_answered ? outcome : call_outcome::no_answer);
                 }
             });
    if (!is_in_time)
    {
        schedule(now_ + call_timeout,
                 [answer] { answer(call_outcome::no_answer); });
    }
}

void cell_world::carry_out(start_run const& order)
{
    possible_runs_[describe(order.task_)].insert(order.run_);
    auto const clock = std::make_shared<std::optional<worker_clock>>();
    auto const execute =
        [this, order, clock, token = token_of(order), sent = now_]
    {
        auto* const worker = find(order.worker_);
        *clock = worker->clock(now_);
        auto const& shape = order.job_->steps_[order.task_.step_];
        fake_worker::run planned;
        planned.used_ = usage_of(shape);
        planned.began_ = now_;
        planned.ends_ =
            shape.long_running_ ? time_point::max() : now_ + shape.estimate_;
        planned.fails_ = failing_.count(order.task_.job_.text()) != 0;
        bool const ends_early = failing_vms_.count(worker->entry_.vm_) != 0 ||
                                (planned.fails_ && shape.long_running_);
        if (ends_early)
        {
            planned.fails_ = true;
            planned.ends_ = now_ + failing_run_time;
        }
        if (policy_ &&
            (order.ticket_.empty() ||
             now_ >= time_point{milliseconds{std::stoll(order.ticket_)}} +
                         policy_->validity_))
        {
            return call_outcome::ticket_refused;
        }
        auto const outcome = worker->start(token, order, planned, now_);
        if (outcome == call_outcome::accepted)
        {
            check_start(order, *worker, sent);
        }
        if (deadly_.count(order.task_) != 0)
        {
            schedule(now_ + deadly_delay_,
                     [this, task = order.task_, id = order.worker_]
                     { crash_under(task, id); });
        }
        return outcome;
    };
    auto const done = [this, order, clock, sent = now_](call_outcome outcome)
    {
        bool const is_unanswered = outcome == call_outcome::no_answer;
        unanswered_starts_[order.task_] += is_unanswered ? 1 : 0;
        if (!is_unanswered && outcome != call_outcome::accepted)
        {
            possible_runs_[describe(order.task_)].erase(order.run_);
        }
        cell_->on_start_response(order, answer_of(outcome, *clock), sent, now_);
    };
    if (start_delay_ > milliseconds{0})
    {
        call_later(order.address_, start_delay_, execute, done);
        return;
    }
    call(order.address_, true, execute, done);
}

void cell_world::carry_out(stop_run const& order)
{
    stops_sent_.insert(order.task_);
    if (faults_.stops_lost_ > 0 && chance(faults_.stops_lost_))
    {
        return;
    }
    if (stop_delay_ > milliseconds{0})
    {
        schedule(now_ + stop_delay_,
                 [this, order, token = token_of(order), sent = now_]
                 { call_stop(order, token, sent); });
        return;
    }
    call_stop(order, token_of(order), now_);
}

void cell_world::call_stop(stop_run const& order, std::uint64_t token,
                           time_point sent)
{
    auto const clock = std::make_shared<std::optional<worker_clock>>();
    call(
        order.address_, true,
        [this, order, clock, token, sent]
        {
            auto* const worker = find(order.worker_);
            *clock = worker->clock(now_);
            auto const before = worker->running_.count(order.task_);
            auto const outcome =
                worker->stop(token, order.task_, order.run_, now_);
            if (before > worker->running_.count(order.task_))
            {
                check_stop(*worker, order.task_, order.run_, sent);
            }
            return outcome;
        },
        [this, order, clock, sent](call_outcome outcome) {
            cell_->on_stop_response(order, answer_of(outcome, *clock), sent,
                                    now_);
        });
}

void cell_world::carry_out(renew_worker const& order)
{
    auto const report = std::make_shared<worker_report>();
    auto const execute = [this, order, report, token = token_of(order)]
    {
        auto const outcome =
            find(order.worker_)->renew(token, order, *report, now_);
        if (report->ended_.size() > max_listed_ends_)
        {
            report->ended_.resize(max_listed_ends_);
        }
        return outcome;
    };
    auto const done = [this, order, report, sent = now_](call_outcome outcome)
    { cell_->on_renewal_response(order, outcome, *report, sent, now_); };
    if (renewal_delay_ > milliseconds{0})
    {
        call_later(order.address_, renewal_delay_, execute, done);
        return;
    }
    call(order.address_, false, execute, done);
}

void cell_world::add_pool(pool_name const& name)
{
    config_.pools_[name] = {};
    cell_->set_config(config_);
}

void cell_world::set_limit(workspace_name const& workspace,
                           resource_amount const& limit)
{
    auto directory =
        config_.workspaces_ ? *config_.workspaces_ : workspace_directory{};
    directory.workspaces_[workspace] = {workspace, limit, 0};
    config_.workspaces_ =
        std::make_shared<workspace_directory const>(std::move(directory));
    limits_[workspace][now_] = limit;
    cell_->set_config(config_);
}

bool cell_world::exceeds_limit(job_definition const& job, job_step const& shape,
                               time_point sent) const
{
    auto const limits =
        job.workspace_ ? limits_.find(*job.workspace_) : limits_.end();
    if (limits == limits_.end())
    {
        return false;
    }
    resource_amount used;
    for (auto const& worker : workers_)
    {
        for (auto const& run : worker->running_)
        {
            auto const other = submitted_.find(run.first.job_.text());
            bool const counts = other != submitted_.end() &&
                                other->second.workspace_ &&
                                *other->second.workspace_ == *job.workspace_;
            if (counts)
            {
                used += other->second.steps_[run.first.step_].each_;
            }
        }
    }
    auto first = limits->second.upper_bound(sent);
    first = first == limits->second.begin() ? first : std::prev(first);
    resource_amount most;
    for (; first != limits->second.end(); ++first)
    {
        most.cpu_milli_ = std::max(most.cpu_milli_, first->second.cpu_milli_);
        most.memory_mb_ = std::max(most.memory_mb_, first->second.memory_mb_);
    }
    constexpr std::int64_t tolerated_percent = 110;
    auto const exceeds = [](std::int64_t amount, std::int64_t each,
                            std::int64_t limit) {
        return limit != 0 &&
               100 * amount > tolerated_percent * limit + 100 * each;
    };
    return exceeds(used.cpu_milli_, shape.each_.cpu_milli_, most.cpu_milli_) ||
           exceeds(used.memory_mb_, shape.each_.memory_mb_, most.memory_mb_);
}

void cell_world::set_objective(double stretch, milliseconds objective)
{
    config_.routes_[0].stretch_ = stretch;
    config_.routes_[0].objective_ = objective;
    cell_->set_config(config_);
}

void cell_world::remove_queue()
{
    config_.routes_.clear();
    cell_->set_config(config_);
}

void cell_world::set_policy(std::chrono::milliseconds validity)
{
    set_policy(advice_policy{milliseconds{20}, milliseconds{1}, validity},
               ticket_start::request);
}

void cell_world::set_policy(advice_policy const& policy, ticket_start from)
{
    policy_ = policy;
    ticket_start_ = from;
    config_.routes_[0].advice_ = policy_;
    cell_->set_config(config_);
}

void cell_world::delay_advice(std::chrono::milliseconds time)
{
    advice_free_at_ = std::max(advice_free_at_, now_) + time;
}

void cell_world::carry_out(query_advice const& order)
{
    constexpr duration timeout_margin = milliseconds{500};
    advice_queries_ += order.workers_.size();
    auto const begun = std::max(now_, advice_free_at_);
    auto const answered = begun + policy_->answer_time(order.workers_.size());
    advice_free_at_ = answered;
    auto const valid_from = ticket_start_ == ticket_start::request ? now_
                            : ticket_start_ == ticket_start::decision
                                ? begun
                                : answered;
    // The service handles a query that has timed out as well.
    auto const timeout = now_ + order.answer_time_ + timeout_margin;
    bool const in_time = answered <= timeout;
    schedule(
        in_time ? answered : timeout,
        [this, order, sent = now_, valid_from, in_time, epoch = epoch_]
        {
            std::vector<issued_ticket> allowed;
            for (auto const& worker : order.workers_)
            {
                if ((worker[1] - '0') % 2 == 0)
                {
                    allowed.push_back(
                        {worker, std::to_string(valid_from.time_since_epoch() /
                                                milliseconds{1})});
                }
            }
            if (epoch == epoch_)
            {
                advice_result result;
                if (in_time && !advice_down_)
                {
                    result.allowed_ = std::move(allowed);
                }
                result.is_queued_ = !in_time;
                cell_->on_advice_response(order, result, sent, now_);
            }
        });
}

void cell_world::carry_out(answer_client const& answer)
{
    auto const found = exchanges_.find(answer.exchange_);
    if (found == exchanges_.end())
    {
        return;
    }
    answers_[found->second].push_back(answer.answer_.kind_);
    constexpr char const* prefix = "cancel ";
    if (found->second.rfind(prefix, 0) == 0 &&
        answer.answer_.kind_ == answer_kind::accepted)
    {
        cancel_acknowledged_.emplace(
            found->second.substr(std::string(prefix).size()), now_);
    }
    exchanges_.erase(found);
}

void cell_world::carry_out(log_decision const& line)
{
    logged_[line.event_].push_back(line.cause_);
    if (line.event_ == std::string("job_failed"))
    {
        check_given_up(line.cause_);
    }
}

void cell_world::check_given_up(std::string const& cause)
{
    auto const end = cause.find(' ');
    auto const task = cause.substr(0, end);
    auto const number = cause.find('=');
    if (number == std::string::npos)
    {
        return;
    }
    auto const reason = cause.substr(end + 1, number - end - 1);
    auto const runs = possible_runs_[task].size();
    if (reason == "starts" && runs < min_runs_to_give_up)
    {
        violations_.push_back("LOST " + cause +
                              " runs=" + std::to_string(runs));
    }
    auto const begun = crashes_after_begin_[task];
    if (reason == "crashes" && begun < min_crashes_to_give_up &&
        std::stoul(cause.substr(number + 1)) < max_crashes_of_any_kind)
    {
        violations_.push_back("LOST " + cause +
                              " begun=" + std::to_string(begun));
    }
}

bool cell_world::exceeds_size(fake_worker const& on, time_point sent) const
{
    resource_amount used;
    for (auto const& run : on.running_)
    {
        used += run.second.used_;
    }
    auto room = on.entry_.size_;
    auto const former = former_sizes_.find(on.entry_.id_);
    if (former != former_sizes_.end())
    {
        for (auto const& size : former->second)
        {
            if (sent >= size.first + shrink_grace)
            {
                continue;
            }
            room.cpu_milli_ = std::max(room.cpu_milli_, size.second.cpu_milli_);
            room.memory_mb_ = std::max(room.memory_mb_, size.second.memory_mb_);
            room.accelerators_ =
                std::max(room.accelerators_, size.second.accelerators_);
        }
    }
    return !used.fits(room);
}

void cell_world::check_start(start_run const& order, fake_worker const& on,
                             time_point sent)
{
    auto const name = describe(order.task_);
    auto const id = order.task_.job_.text();
    stopped_.erase(order.task_);
    ++runs_[id];
    auto const job = submitted_.find(id);
    if (job == submitted_.end() || job->second.text_ != order.job_->text_)
    {
        violations_.push_back("UNASKED " + name);
        return;
    }
    if (acknowledged_done_.count(order.task_) != 0)
    {
        violations_.push_back("TWICE after done " + name);
    }
    else if (done_.count(order.task_) != 0)
    {
        started_again_.emplace(order.task_, order.run_);
    }
    for (auto const& worker : workers_)
    {
        auto const found = worker->running_.find(order.task_);
        if (found != worker->running_.end() && worker.get() != &on)
        {
            violations_.push_back("TWICE at once " + name);
        }
    }
    if (exceeds_size(on, sent))
    {
        violations_.push_back("LIMIT " + name);
    }
    auto const& shape = job->second.steps_[order.task_.step_];
    if (exceeds_limit(job->second, shape, sent))
    {
        violations_.push_back("QUOTA " + name);
    }
    for (auto const before : shape.after_)
    {
        step_id const earlier{order.task_.job_, order.task_.occurrence_,
                              before};
        if (tasks_done_[earlier] < job->second.steps_[before].tasks_)
        {
            violations_.push_back("ORDER " + name);
        }
    }
    if (crashes_by(order.task_) >= crashes_before_limit &&
        ++starts_after_crashes_[order.task_] >= max_starts_after_crashes)
    {
        violations_.push_back("BUDGET crashes " + name);
    }
    if (failures_[order.task_] >= max_attempts && !shape.long_running_)
    {
        violations_.push_back("BUDGET " + name);
    }
    auto const cancelled = cancel_acknowledged_.find(id);
    if (cancelled != cancel_acknowledged_.end() &&
        now_ > cancelled->second + cancel_grace)
    {
        violations_.push_back("UNASKED after its cancellation " + name);
    }
}

bool cell_world::is_running(task_id const& task) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&](auto const& worker)
                       { return worker->running_.count(task) != 0; });
}

void cell_world::check_stop(fake_worker const& on, task_id const& task,
                            std::uint32_t run, time_point sent)
{
    auto const id = task.job_.text();
    auto const job = submitted_.find(id);
    if (job == submitted_.end() || cancelled_.count(id) != 0)
    {
        return;
    }
    auto const& shape = job->second.steps_[task.step_];
    if (!shape.long_running_ || shape.max_unavailable_ == 0)
    {
        return;
    }
    std::uint32_t unavailable = 0;
    for (std::uint32_t i = 0; i < shape.tasks_; ++i)
    {
        task_id other = task;
        other.index_ = i;
        auto const last = last_running_.find(other);
        auto const since =
            last == last_running_.end() ? submitted_at_.at(id) : last->second;
        bool const is_away =
            stopped_.count(other) != 0 || now_ - since > unavailable_time;
        unavailable +=
            i != task.index_ && !is_running(other) && is_away ? 1 : 0;
    }
    bool const counts = !on.entry_.draining_ && now_ - sent < held_up_time;
    if (counts && unavailable >= shape.max_unavailable_)
    {
        violations_.push_back("AVAIL " + describe(task) + " run " +
                              std::to_string(run) + " on " + on.entry_.id_);
    }
    stopped_.insert(task);
}

void cell_world::record_ends()
{
    for (auto const& worker : workers_)
    {
        auto const name = worker->entry_.id_ + " " +
                          describe(worker->entry_.incarnation_start_);
        for (auto const& run : worker->running_)
        {
            last_running_[run.first] = now_;
        }
        for (auto const& end : worker->ends_)
        {
            if (!ends_seen_.emplace(name, end.number_).second)
            {
                continue;
            }
            if (end.outcome_ == run_end::done)
            {
                bool const first = done_.insert(end.task_).second;
                tasks_done_[{end.task_.job_, end.task_.occurrence_,
                             end.task_.step_}] += first ? 1 : 0;
            }
        }
        for (auto const& end : worker->acknowledged_ends_)
        {
            if (!acknowledged_seen_.emplace(name, end.number_).second)
            {
                continue;
            }
            failures_[end.task_] += end.outcome_ == run_end::failed ? 1 : 0;
            if (end.outcome_ != run_end::done)
            {
                continue;
            }
            acknowledged_done_.insert(end.task_);
            auto const again = started_again_.find(end.task_);
            if (again != started_again_.end() && end.run_ < again->second)
            {
                violations_.push_back("TWICE, its end was acknowledged later " +
                                      describe(end.task_));
            }
        }
    }
}

bool cell_world::has_answer(std::string const& id, answer_kind kind) const
{
    auto const found = answers_.find(id);
    return found != answers_.end() &&
           std::count(found->second.begin(), found->second.end(), kind) > 0;
}

job_status cell_world::status(std::string const& id) const
{
    auto const found = cell_->jobs().find(id);
    return found == cell_->jobs().end() ? job_status::queued
                                        : found->second.stored_status_;
}

std::size_t cell_world::runs_of(std::string const& id) const
{
    auto const found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

std::optional<std::uint32_t>
cell_world::worker_running(task_id const& task) const
{
    for (std::uint32_t i = 0; i < worker_count(); ++i)
    {
        if (workers_[i]->running_.count(task) != 0)
        {
            return i;
        }
    }
    return std::nullopt;
}

std::size_t cell_world::running_tasks(std::string const& id) const
{
    std::set<task_id> tasks;
    for (auto const& worker : workers_)
    {
        for (auto const& run : worker->running_)
        {
            if (run.first.job_.text() == id)
            {
                tasks.insert(run.first);
            }
        }
    }
    return tasks.size();
}

std::size_t cell_world::unacknowledged_ends() const
{
    std::size_t ends = 0;
    for (auto const& each : workers_)
    {
        ends += each->ends_.size();
    }
    return ends;
}

bool cell_world::all_ended() const
{
    return std::all_of(cell_->jobs().begin(), cell_->jobs().end(),
                       [](auto const& job) { return job.second.ended(); });
}

} // namespace cuminfold
