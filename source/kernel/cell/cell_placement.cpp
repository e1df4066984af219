#include "kernel/cell/cell.hpp"

#include "kernel/cell/policy_record.hpp"
#include "kernel/cell/task_isolation.hpp"

#include <algorithm>
#include <tuple>

namespace cuminfold
{

namespace
{

/// Once more finite steps of a pool than this wait for room that running tasks
/// will leave, the remaining steps wait for the next placement, so that the
/// room goes to the first ones.
constexpr std::size_t max_waiting_steps = 12;

/// A job is late once this percentage of its remaining critical path does not
/// fit before its objective. Below 100 since run times vary and some jobs are
/// faster than expected.
constexpr std::int64_t late_critical_path_percent = 70;

/// Minimum time between two log lines about the wait of one step.
constexpr duration wait_log_interval = std::chrono::seconds{1};

/// Added to the score of a worker whose ticket has expired, so that its ticket
/// is renewed before workers of unknown status are queried.
constexpr double expired_ticket_bonus = 1000;
/// How long a worker takes no other tasks, so that it becomes free for a
/// suspected one.
constexpr duration isolation_time = std::chrono::milliseconds{2500};
/// Interval at which tasks that wait for an isolated worker are placed again.
constexpr duration isolation_retry_interval = std::chrono::milliseconds{50};

/// Whether a task waits for room alone.
bool waits_for_room(task_state const& task, time_point now)
{
    return task.phase_ == task_phase::waiting && earliest_start(task) <= now &&
           !task.start_budget_.is_spent() && !is_held(task, false) &&
           required_isolation(task, now) == task_isolation::none;
}

/// Whether the limit of the job's workspace has no room for a task of the step,
/// or for all of a gang.
bool lacks_limit(job_state const& job, job_step const& shape)
{
    return job.account_ != nullptr &&
           !job.account_->admits(shape.each_, shape.gang_ ? shape.tasks_ : 1);
}

/// The progress of the task of a step that is the least advanced.
std::int64_t min_percent(step_state const& step)
{
    if (step.waiting_ != 0)
    {
        return 0;
    }
    std::int64_t result = 100;
    for (auto const& task : step.tasks_)
    {
        bool const done = task.phase_ == task_phase::done;
        bool const runs = task.phase_ == task_phase::running;
        result = std::min<std::int64_t>(result,
                                        done   ? 100
                                        : runs ? std::min(100U, task.percent_)
                                               : 0);
    }
    return result;
}

} // namespace

bool cell::is_ready(job_step const& shape, occurrence_state const& occurrence)
{
    return std::all_of(shape.after_.begin(), shape.after_.end(),
                       [&](std::uint32_t predecessor)
                       {
                           auto const& step = occurrence.steps_[predecessor];
                           return step.done_ == step.tasks_.size();
                       });
}

bool cell::has_waiting_task(job_state const& job)
{
    for (auto const& occurrence : job.occurrences_)
    {
        for (std::size_t s = 0;
             !occurrence.done_ && s < occurrence.steps_.size(); ++s)
        {
            if (occurrence.steps_[s].waiting_ != 0 &&
                is_ready(job.request_->steps_[s], occurrence))
            {
                return true;
            }
        }
    }
    return false;
}

void cell::place(time_point now)
{
    if (!can_start(now))
    {
        placement_due_ = true;
        return;
    }
    remove_ended_from_open();
    account_for_orphans();
    std::map<pool_name, std::vector<std::pair<job_id, job_state*>>> by_pool;
    for (auto const& item : open_jobs_)
    {
        auto& job = *item.second;
        if (!job.ended() && job.request_ && has_waiting_task(job))
        {
            by_pool[job.pool_].emplace_back(job_id{item.first}, &job);
        }
    }
    forget_rankings(by_pool);
    for (auto& pool : by_pool)
    {
        rank_pool(pool.first, now);
        place_pool(pool.first, pool.second, now);
        note_unplaced(pool.first, pool.second);
    }
}

void cell::account_for_orphans()
{
    if (accounts_.all().empty())
    {
        return;
    }
    for (auto& item : accounts_.all())
    {
        item.second.clear_orphaned();
    }
    for (auto const& worker : workers_)
    {
        for (auto const& orphan : worker.second.orphaned_runs_)
        {
            auto const at = find(orphan.first);
            if (at && at.job_->account_ != nullptr)
            {
                at.job_->account_->add_orphaned(at.shape_->each_);
            }
        }
    }
}

bool cell::is_held_by_limit(step_id const& step, job_state const& job,
                            time_point now)
{
    if (job.account_ == nullptr)
    {
        return false;
    }
    auto& account = *job.account_;
    auto const& shape = job.request_->steps_[step.step_];
    // A long-running task serves callers at all times, so that it does not wait
    // for a gang.
    bool const waits_for_gang =
        !shape.long_running_ && account.is_reserved_from(step, now);
    if (!waits_for_gang && !lacks_limit(job, shape))
    {
        account.end_reservation(step);
        return false;
    }
    bool const can_fit =
        account.can_ever_admit(shape.each_, shape.gang_ ? shape.tasks_ : 1);
    if (shape.gang_ && can_fit)
    {
        account.reserve_for(step, now);
    }
    if (account.must_log_hold(now))
    {
        auto const usage = account.usage();
        auto const& limit = account.limit();
        auto const part =
            [](char const* name, std::int64_t used, std::int64_t most)
        {
            return std::string(" ") + name + "=" + std::to_string(used) + "/" +
                   std::to_string(most);
        };
        log_event(
            "workspace_limit", account.name()->text(),
            "step=" + describe(step) +
                part("cpu_milli", usage.cpu_milli_, limit.cpu_milli_) +
                part("memory_mb", usage.memory_mb_, limit.memory_mb_) +
                part("accelerators", usage.accelerators_, limit.accelerators_) +
                (waits_for_gang ? " reserved_for_gang" : ""));
    }
    return true;
}

bool cell::is_held_by_limit(job_state const& job)
{
    if (job.account_ == nullptr)
    {
        return false;
    }
    bool waits = false;
    for (auto const& occurrence : job.occurrences_)
    {
        for (std::size_t s = 0; s < occurrence.steps_.size(); ++s)
        {
            auto const& shape = job.request_->steps_[s];
            if (occurrence.steps_[s].waiting_ == 0 ||
                !is_ready(shape, occurrence))
            {
                continue;
            }
            if (!lacks_limit(job, shape))
            {
                return false;
            }
            waits = true;
        }
    }
    return waits;
}

void cell::find_candidates(pool_name const& pool, time_point now)
{
    candidates_.clear();
    for (auto const& name : pool_workers_[pool])
    {
        auto const found = workers_.find(name);
        if (found != workers_.end() && is_candidate(found->second, false, now))
        {
            candidates_.push_back(&found->second);
        }
    }
}

void cell::place_pool(pool_name const& pool,
                      std::vector<std::pair<job_id, job_state*>>& jobs,
                      time_point now)
{
    find_candidates(pool, now);
    if (candidates_.empty())
    {
        return;
    }
    struct ordered_job
    {
        placement_key sort_key_;
        job_id id_;
        job_state* job_;
    };
    std::vector<ordered_job> ordered;
    ordered.reserve(jobs.size());
    for (auto& item : jobs)
    {
        ordered.push_back(
            {placement_key_of(*item.second, is_late(*item.second, now), now),
             item.first, item.second});
    }
    std::sort(ordered.begin(), ordered.end(),
              [](ordered_job const& a, ordered_job const& b) {
                  return std::tie(a.sort_key_, a.id_) <
                         std::tie(b.sort_key_, b.id_);
              });
    // Whether the candidates could take the step if all finite tasks had ended.
    auto const fits_later = [&](job_step const& shape)
    {
        std::uint64_t slots = 0;
        std::uint64_t const wanted = shape.gang_ ? shape.tasks_ : 1;
        for (auto const* const candidate : candidates_)
        {
            if (slots >= wanted)
            {
                break;
            }
            auto const later = without_finite_tasks(*candidate);
            slots +=
                task_slots({later, shape, 0, now, std::nullopt}, shape.tasks_);
        }
        return slots >= wanted;
    };
    unplaced_demands unplaced(candidates_);
    unplaced_demands hopeless(candidates_);
    auto const is_waiting_for_room =
        [&](job_state const& job, step_state const& step, job_step const& shape)
    {
        bool const waits = !job.ended() && !shape.long_running_ &&
                           step.waiting_ != 0 && advice_for(job) == nullptr &&
                           !lacks_limit(job, shape) &&
                           std::any_of(step.tasks_.begin(), step.tasks_.end(),
                                       [&](task_state const& task)
                                       { return waits_for_room(task, now); });
        if (!waits || (shape.gang_ ? hopeless.covers_gang(shape)
                                   : hopeless.covers_task(shape)))
        {
            return false;
        }
        if (fits_later(shape))
        {
            return true;
        }
        shape.gang_ ? hopeless.add_gang(shape) : hopeless.add_task(shape);
        return false;
    };
    std::size_t waiting = 0;
    for (auto const& item : ordered)
    {
        auto& job = *item.job_;
        for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k)
        {
            auto const& occurrence = job.occurrences_[k];
            for (std::uint32_t s = 0;
                 !occurrence.done_ && s < occurrence.steps_.size(); ++s)
            {
                if (job.ended() || occurrence.steps_[s].waiting_ == 0 ||
                    !is_ready(job.request_->steps_[s], occurrence))
                {
                    continue;
                }
                if (job.request_->steps_[s].gang_)
                {
                    place_gang(item.id_, job, k, s, unplaced, now);
                }
                else
                {
                    place_step(item.id_, job, k, s, unplaced, now);
                }
                waiting += is_waiting_for_room(job, occurrence.steps_[s],
                                               job.request_->steps_[s])
                               ? 1
                               : 0;
                if (waiting > max_waiting_steps)
                {
                    return;
                }
            }
        }
    }
}

void cell::place_step(job_id const& id, job_state& job,
                      std::uint32_t occurrence, std::uint32_t step,
                      unplaced_demands& unplaced, time_point now)
{
    auto& state = job.occurrences_[occurrence].steps_[step];
    auto const& shape = job.request_->steps_[step];
    // The fullest worker scores highest, so the worker of the previous task
    // stays the best choice for the next one as long as no rule forbids it.
    bool const stays_best = !shape.long_running_ && shape.per_worker_ == 0 &&
                            advice_for(job) == nullptr;
    worker_state* worker = nullptr;
    for (std::uint32_t i = 0; i < state.tasks_.size(); ++i)
    {
        auto& task = state.tasks_[i];
        if (task.phase_ != task_phase::waiting)
        {
            continue;
        }
        if (earliest_start(task) > now + isolation_retry_interval ||
            is_held(task, shape.long_running_))
        {
            next_isolation_retry_ = now + isolation_retry_interval;
            continue;
        }
        if (earliest_start(task) > now)
        {
            placement_due_ = true;
            continue;
        }
        task_location at{&job, &state, &shape, &task};
        if (job.account_ != nullptr &&
            is_held_by_limit({id, occurrence, step}, job, now))
        {
            return;
        }
        if (is_out_of_starts({id, occurrence, step, i}, at, now))
        {
            if (job.ended())
            {
                return;
            }
            continue;
        }
        auto const isolation = required_isolation(task, now);
        if (isolation != task_isolation::none)
        {
            place_isolated({id, occurrence, step, i}, at, isolation, now);
            continue;
        }
        bool const reuse = stays_best && worker != nullptr &&
                           violated_rule(view_of(*worker, shape, state,
                                                 isolation, now)) == nullptr;
        if (!reuse)
        {
            worker = unplaced.covers_task(shape)
                         ? nullptr
                         : choose_worker({id, occurrence, step}, job, isolation,
                                         now);
        }
        if (worker == nullptr)
        {
            log_wait({id, occurrence, step}, job, now);
            // Without tickets or other tasks of the step, each step of this
            // shape fails in the same way.
            bool const is_alone = std::all_of(
                state.tasks_.begin(), state.tasks_.end(),
                [](task_state const& each) { return each.worker_.empty(); });
            if (advice_for(job) == nullptr &&
                (shape.per_worker_ == 0 || is_alone))
            {
                unplaced.add_task(shape);
            }
            return;
        }
        assign({id, occurrence, step, i}, at, *worker, task.run_ + 1, now);
        mark_dirty(job, {id, occurrence, step, i});
    }
}

bool cell::is_out_of_starts(task_id const& task, task_location const& at,
                            time_point now)
{
    if (!at.task_->start_budget_.is_spent())
    {
        return false;
    }
    if (may_be_forgiven(task, now))
    {
        next_isolation_retry_ = now + isolation_retry_interval;
    }
    else
    {
        fail_job(*at.job_,
                 describe(task) + " starts=" +
                     std::to_string(at.task_->start_budget_.used()),
                 now);
    }
    return true;
}

void cell::place_isolated(task_id const& task, task_location const& at,
                          task_isolation isolation, time_point now)
{
    step_id const step{task.job_, task.occurrence_, task.step_};
    auto* worker = choose_worker(step, *at.job_, isolation, now);
    if (worker == nullptr && at.shape_->long_running_)
    {
        // It is to run at all times, so that it doesn't wait for isolation.
        isolation = task_isolation::waived;
        worker = choose_worker(step, *at.job_, isolation, now);
    }
    if (worker == nullptr)
    {
        next_isolation_retry_ = now + isolation_retry_interval;
        isolate_worker(at, now);
        return;
    }
    assign(task, at, *worker, at.task_->run_ + 1, now);
    mark_dirty(*at.job_, task);
    begin_isolation(*at.task_, isolation);
}

void cell::isolate_worker(task_location const& at, time_point now)
{
    auto const is_kept_free = [now](worker_state const* worker)
    { return worker->suspected_tasks_ > 0 || now < worker->isolated_until_; };
    auto const isolated = static_cast<std::size_t>(
        std::count_if(candidates_.begin(), candidates_.end(), is_kept_free));
    if (isolated >= max_isolated_workers(candidates_.size()))
    {
        return;
    }
    // Finite tasks end soon, long-running ones stay.
    auto const cost = [](worker_state const& worker) {
        return std::make_pair(worker.long_running_tasks_, worker.tasks_.size());
    };
    worker_state* best = nullptr;
    for (auto* const worker : candidates_)
    {
        auto view =
            view_of(*worker, *at.shape_, *at.step_, task_isolation::none, now);
        view.isolation_.reset();
        if (!is_kept_free(worker) && violated_rule(view) == nullptr &&
            (best == nullptr || cost(*worker) < cost(*best)))
        {
            best = worker;
        }
    }
    if (best != nullptr)
    {
        best->isolated_until_ = now + isolation_time;
        log_event("worker_isolated", best->entry_.id_,
                  "tasks=" + std::to_string(best->tasks_.size()));
    }
}

void cell::place_gang(job_id const& id, job_state& job,
                      std::uint32_t occurrence, std::uint32_t step,
                      unplaced_demands& unplaced, time_point now)
{
    auto& state = job.occurrences_[occurrence].steps_[step];
    auto const& shape = job.request_->steps_[step];
    std::uint32_t run = 0;
    std::string checkpoint;
    for (auto& task : state.tasks_)
    {
        if (is_held(task, shape.long_running_))
        {
            next_isolation_retry_ = now + isolation_retry_interval;
            return;
        }
        if (task.phase_ != task_phase::waiting || earliest_start(task) > now)
        {
            placement_due_ = placement_due_ || earliest_start(task) > now;
            return;
        }
        auto const index =
            static_cast<std::uint32_t>(&task - state.tasks_.data());
        if (is_out_of_starts({id, occurrence, step, index},
                             {&job, &state, &shape, &task}, now))
        {
            return;
        }
        if (task.run_ >= run && !task.checkpoint_.empty())
        {
            checkpoint = task.checkpoint_;
        }
        run = std::max(run, task.run_);
    }
    if (job.account_ != nullptr &&
        is_held_by_limit({id, occurrence, step}, job, now))
    {
        return;
    }
    bool const is_suspected = std::any_of(
        state.tasks_.begin(), state.tasks_.end(),
        [&](task_state const& task)
        { return required_isolation(task, now) != task_isolation::none; });
    if (!is_suspected && unplaced.covers_gang(shape))
    {
        return;
    }
    if (!is_suspected && !has_slots(shape, now))
    {
        unplaced.add_gang(shape);
        return;
    }
    std::uint32_t placed = 0;
    for (; placed < state.tasks_.size(); ++placed)
    {
        task_location at{&job, &state, &shape, &state.tasks_[placed]};
        auto const isolation = required_isolation(*at.task_, now);
        auto* const worker =
            choose_worker({id, occurrence, step}, job, isolation, now);
        if (worker == nullptr)
        {
            if (isolation != task_isolation::none)
            {
                next_isolation_retry_ = now + isolation_retry_interval;
                isolate_worker(at, now);
            }
            break;
        }
        at.task_->checkpoint_ = checkpoint;
        assign({id, occurrence, step, placed}, at, *worker, run + 1, now);
        begin_isolation(*at.task_, isolation);
    }
    if (placed == state.tasks_.size())
    {
        for (std::uint32_t i = 0; i < placed; ++i)
        {
            mark_dirty(job, {id, occurrence, step, i});
        }
        return;
    }
    for (std::uint32_t i = 0; i < placed; ++i)
    {
        task_location at{&job, &state, &shape, &state.tasks_[i]};
        auto const waiting_since = at.task_->waiting_since_;
        release({id, occurrence, step, i}, at, now);
        at.task_->run_ = run;
        at.task_->waiting_since_ = waiting_since;
    }
    if (!is_suspected && advice_for(job) == nullptr)
    {
        unplaced.add_gang(shape);
    }
}

bool cell::has_slots(job_step const& shape, time_point now) const
{
    std::uint64_t slots = 0;
    for (auto const* const worker : candidates_)
    {
        if (slots >= shape.tasks_)
        {
            break;
        }
        slots += task_slots({*worker, shape, 0, now, task_isolation::none},
                            shape.tasks_);
    }
    return slots >= shape.tasks_;
}

void cell::log_wait(step_id const& id, job_state& job, time_point now)
{
    auto const& shape = job.request_->steps_[id.step_];
    auto& step = job.occurrences_[id.occurrence_].steps_[id.step_];
    if (!shape.long_running_ || now - step.wait_logged_at_ < wait_log_interval)
    {
        return;
    }
    step.wait_logged_at_ = now;
    std::map<std::string, std::size_t> excluded;
    for (auto const& name : pool_workers_[job.pool_])
    {
        auto const found = workers_.find(name);
        if (found != workers_.end())
        {
            auto const* const rule = violated_rule(
                view_of(found->second, shape, step, task_isolation::none, now));
            ++excluded[rule == nullptr ? "not_allowed" : rule->reason_];
        }
    }
    std::string cause = "waiting=" + std::to_string(step.waiting_);
    for (auto const& item : excluded)
    {
        cause += " " + item.first + "=" + std::to_string(item.second);
    }
    log_event("long_running_task_waits", describe(id), cause);
}

duration cell::remaining_critical_path(job_state const& job) const
{
    duration longest{0};
    std::vector<duration> ends(job.request_->steps_.size(), duration{0});
    for (auto const& occurrence : job.occurrences_)
    {
        for (std::size_t s = 0; s < occurrence.steps_.size(); ++s)
        {
            auto const& shape = job.request_->steps_[s];
            auto const& step = occurrence.steps_[s];
            ends[s] = duration{0};
            for (auto const predecessor : shape.after_)
            {
                ends[s] = std::max(ends[s], ends[predecessor]);
            }
            if (step.done_ == step.tasks_.size() || shape.long_running_)
            {
                continue;
            }
            ends[s] += step.run_time_ * (100 - min_percent(step)) / 100 +
                       step.run_time_ *
                           (waves(job.account_, shape, step.waiting_) - 1);
            longest = std::max(longest, ends[s]);
        }
    }
    return longest;
}

bool cell::is_late(job_state const& job, time_point now) const
{
    return !job.long_running_ && job.request_ &&
           now + remaining_critical_path(job) * late_critical_path_percent /
                       100 >
               job.objective_;
}

placement_view cell::view_of(worker_state const& worker, job_step const& shape,
                             step_state const& step, task_isolation isolation,
                             time_point now) const
{
    std::uint32_t same = 0;
    if (shape.per_worker_ != 0 || shape.long_running_)
    {
        for (auto const& task : step.tasks_)
        {
            same += task.worker_ == worker.entry_.id_ ? 1 : 0;
        }
    }
    return {worker, shape, same, now, isolation};
}

advice_policy const* cell::advice_for(job_state const& job) const
{
    auto const* const route = config_.find_by_name(job.route_);
    if (route != nullptr)
    {
        return route->advice_ ? &*route->advice_ : nullptr;
    }
    auto const stored = policies_.find(job.route_);
    return stored != policies_.end() ? &stored->second : nullptr;
}

void cell::restore_policy(std::string const& queue, std::string const& text)
{
    policies_[queue] = decode_policy(text);
}

void cell::store_policy(queue_route const& route)
{
    auto const stored = policies_.find(route.name_);
    bool const is_stored = stored != policies_.end();
    if (!route.advice_)
    {
        if (is_stored)
        {
            policies_.erase(stored);
            delete_record(record_kind::policy, route.name_);
        }
        return;
    }
    auto text = encode(*route.advice_);
    if (is_stored && encode(stored->second) == text)
    {
        return;
    }
    policies_[route.name_] = *route.advice_;
    cell_record record;
    record.kind_ = record_kind::policy;
    record.name_ = route.name_;
    record.text_ = std::move(text);
    append_record(std::move(record));
}

void cell::delete_unused_policies()
{
    for (auto place = policies_.begin(); place != policies_.end();)
    {
        bool const is_used =
            config_.find_by_name(place->first) != nullptr ||
            std::any_of(open_jobs_.begin(), open_jobs_.end(),
                        [&](auto const& job)
                        { return job.second->route_ == place->first; });
        if (is_used)
        {
            ++place;
            continue;
        }
        delete_record(record_kind::policy, place->first);
        place = policies_.erase(place);
    }
}

void cell::request_advice(step_id const& id, advice_policy const& advice,
                          std::vector<std::pair<double, std::string>> workers,
                          time_point now)
{
    if (workers.empty() || !tickets_.can_query(id, now))
    {
        placement_due_ = placement_due_ || tickets_.paused(id, now);
        return;
    }
    auto const count = std::min(workers.size(), max_queried_workers(advice));
    if (!tickets_.admit(id, advice, count, now))
    {
        // Without an answer to come, nothing else makes a placement due.
        auto const& line = tickets_.line();
        placement_due_ = placement_due_ || line.in_flight() == 0;
        if (tickets_.delayed(id))
        {
            log_event("advice_delayed", describe(id),
                      "in_flight=" + std::to_string(line.in_flight()) +
                          " line_ms=" + in_milliseconds(line.expected_wait()));
        }
        return;
    }
    std::sort(workers.begin(), workers.end(),
              [](auto const& a, auto const& b) { return a.first > b.first; });
    query_advice query;
    query.step_ = id;
    for (std::size_t i = 0; i < count; ++i)
    {
        query.workers_.push_back(std::move(workers[i].second));
    }
    tickets_.requested(query, advice);
    actions_.emplace_back(std::move(query));
}

worker_state* cell::choose_worker(step_id const& id, job_state const& job,
                                  task_isolation isolation, time_point now)
{
    auto const& shape = job.request_->steps_[id.step_];
    auto const& step = job.occurrences_[id.occurrence_].steps_[id.step_];
    auto const* const advice = advice_for(job);
    std::vector<std::pair<double, std::string>> to_query;
    worker_state* best = nullptr;
    double best_score = 0;
    for (auto* const worker : candidates_)
    {
        auto const& name = worker->entry_.id_;
        auto const view = view_of(*worker, shape, step, isolation, now);
        if (violated_rule(view) != nullptr)
        {
            continue;
        }
        double const score = placement_score(view);
        auto const ticket = advice == nullptr ? ticket_status::allowed
                                              : tickets_.status(id, name, now);
        if (ticket != ticket_status::allowed)
        {
            if (ticket == ticket_status::expired)
            {
                to_query.emplace_back(score + expired_ticket_bonus, name);
            }
            else if (ticket == ticket_status::unknown)
            {
                to_query.emplace_back(score, name);
            }
            continue;
        }
        if (best == nullptr || score > best_score)
        {
            best = worker;
            best_score = score;
        }
    }
    if (best == nullptr && advice != nullptr)
    {
        request_advice(id, *advice, std::move(to_query), now);
    }
    return best;
}

void cell::assign(task_id const& task, task_location const& at,
                  worker_state& worker, std::uint32_t run, time_point now)
{
    at.task_->run_ = run;
    at.task_->phase_ = task_phase::placed;
    at.task_->stop_sent_ = {};
    at.task_->stop_accepted_ = false;
    if (at.shape_->long_running_ &&
        at.task_->unavailable_since_ == time_point{})
    {
        at.task_->unavailable_since_ = now;
    }
    if (!at.shape_->long_running_)
    {
        update_budget(task, at, &start_budget::on_placed, run);
    }
    occupy(task, at, worker.entry_.id_);
}

} // namespace cuminfold
