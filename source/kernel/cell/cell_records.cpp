#include "kernel/cell/cell.hpp"

#include "kernel/cell/job_memory.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminfold
{

namespace
{

/// Interval between two searches for ended jobs to remove.
constexpr duration cleanup_interval = std::chrono::seconds{1};

/// Whether no run of the task was ever placed.
bool is_new(task_state const& task)
{
    return task.run_ == 0 && task.failures_ == 0 && task.checkpoint_.empty();
}

/// Upper bound of the bytes that a store of the record takes.
std::size_t size_bound(cell_record const& record)
{
    constexpr std::size_t bytes_per_record = 64;
    constexpr std::size_t bytes_per_row = 40;
    std::size_t bytes = bytes_per_record + record.name_.size();
    if (record.request_)
    {
        bytes += record_size_bound(*record.request_);
    }
    if (record.text_)
    {
        bytes += record.text_->size();
    }
    if (record.progress_)
    {
        for (auto const& task : record.progress_->tasks_)
        {
            bytes +=
                bytes_per_row + task.worker_.size() + task.checkpoint_.size();
        }
    }
    return bytes;
}

} // namespace

std::size_t record_size_bound(job_definition const& job)
{
    // Names of fields and numbers of the longest encoding.
    constexpr std::size_t bytes_per_job = 200;
    constexpr std::size_t bytes_per_step = 200;
    constexpr std::size_t bytes_per_index = 5;
    std::size_t bytes = bytes_per_job + job.id_.text().size() +
                        job.route_.size() + job.pool_.text().size() +
                        job.text_.size();
    for (auto const& step : job.steps_)
    {
        bytes += bytes_per_step + step.label_.size() + step.data_rack_.size() +
                 step.image_.size() + bytes_per_index * step.after_.size();
    }
    return bytes;
}

void cell::remove_ended_from_open()
{
    for (auto it = open_jobs_.begin(); it != open_jobs_.end();)
    {
        it = it->second->ended() ? open_jobs_.erase(it) : std::next(it);
    }
}

void cell::mark_dirty(job_state& job)
{
    mark_dirty(job, block_number{0});
}

void cell::mark_dirty(job_state& job, task_id const& task)
{
    mark_dirty(job, job.blocks_.block_of(task));
}

void cell::mark_dirty(job_state& job, block_number block)
{
    if (job.dirty_blocks_.insert(block).second)
    {
        dirty_blocks_.emplace_back(job.request_->id_.text(), block);
    }
}

void cell::initialize_job(job_state& job, time_point now)
{
    job.blocks_ = task_blocks(*job.request_);
    job.long_running_ =
        std::any_of(job.request_->steps_.begin(), job.request_->steps_.end(),
                    [](job_step const& step) { return step.long_running_; });
    if (job.request_->occurrences_ == 0 && !job.exceeds_memory_)
    {
        add_occurrence(job);
    }
    if (job.arrived_ == time_point{})
    {
        job.arrived_ = now;
    }
}

void cell::add_occurrence(job_state& job)
{
    occurrence_state occurrence;
    for (auto const& shape : job.request_->steps_)
    {
        step_state step;
        step.tasks_.resize(shape.tasks_);
        step.waiting_ = shape.tasks_;
        step.run_time_ = run_times_.predict(job.route_, shape);
        occurrence.steps_.push_back(std::move(step));
    }
    job.occurrences_.push_back(std::move(occurrence));
}

void cell::add_due_occurrences(job_state& job, calendar_time calendar)
{
    auto const& request = *job.request_;
    while (job.occurrences_.size() < request.occurrences_)
    {
        auto const begins =
            request.first_run_ +
            std::chrono::duration_cast<std::chrono::milliseconds>(
                request.interval_) *
                static_cast<std::int64_t>(job.occurrences_.size());
        if (calendar < begins)
        {
            return;
        }
        add_occurrence(job);
        placement_due_ = true;
    }
}

task_state const& cell::task_of(job_state const& job, task_id const& task)
{
    return job.occurrences_[task.occurrence_]
        .steps_[task.step_]
        .tasks_[task.index_];
}

job_progress cell::progress_of(job_state const& job, block_number block) const
{
    job_progress progress;
    progress.status_ = block == 0 ? job.status_ : job_status::queued;
    if (job.ended())
    {
        progress.workspace_ =
            job.account_ != nullptr ? job.account_->name() : nullptr;
        return progress;
    }
    for (auto const& id : job.blocks_.tasks_of(block, job.occurrences_.size()))
    {
        auto const& task = task_of(job, id);
        if (is_new(task) && task.phase_ == task_phase::waiting)
        {
            continue;
        }
        task_record record;
        record.task_ = id;
        record.run_ = task.run_;
        record.failures_ = task.failures_;
        record.done_ = task.phase_ == task_phase::done;
        record.worker_ = task.worker_;
        record.checkpoint_ = record.done_ ? "" : task.checkpoint_;
        progress.tasks_.push_back(std::move(record));
    }
    return progress;
}

void cell::append_block(std::string const& name, block_number block,
                        cell_batch& batch, batch_effects& effects)
{
    auto& job = jobs_.at(name);
    job.dirty_blocks_.erase(block);
    if (job.ended() && block != 0)
    {
        // The record of block 0 ends the job, and deletes the others.
        return;
    }
    if (!job.request_written_ && !job.ended())
    {
        job.request_written_ = true;
        batch.records_.push_back({record_kind::request, name, job.request_,
                                  std::nullopt, std::nullopt});
    }
    append_count_records(name, job, block, batch);
    batch.records_.push_back({record_kind::progress, block_name(name, block),
                              nullptr, progress_of(job, block), std::nullopt});
    if (block == 0)
    {
        effects.jobs_.emplace_back(job_id{name}, job.status_);
    }
    else
    {
        job.stored_blocks_.insert(block);
    }
    if (job.ended())
    {
        append_deletions(name, job, batch);
        tickets_.erase_job(job_id{name});
        return;
    }
    for (auto const& record : batch.records_.back().progress_->tasks_)
    {
        task_id task = record.task_;
        task.job_ = job_id{name};
        auto const at = find(task);
        if (at && at.task_->phase_ == task_phase::placed)
        {
            effects.starts_.emplace_back(task, record.run_);
            store_incarnation(workers_.at(record.worker_));
        }
    }
}

void cell::append_deletions(std::string const& name, job_state& job,
                            cell_batch& batch)
{
    if (job.request_written_)
    {
        batch.records_.push_back(
            {record_kind::request, name, nullptr, std::nullopt, std::nullopt});
    }
    for (auto const block : std::exchange(job.stored_blocks_, {}))
    {
        batch.records_.push_back({record_kind::progress,
                                  block_name(name, block), nullptr,
                                  std::nullopt, std::nullopt});
    }
    auto counted = job.crash_records_.stored_;
    counted.insert(job.start_records_.stored_.begin(),
                   job.start_records_.stored_.end());
    counted.insert(job.loss_records_.stored_.begin(),
                   job.loss_records_.stored_.end());
    counted.insert(job.confirmation_records_.stored_.begin(),
                   job.confirmation_records_.stored_.end());
    for (auto const block : counted)
    {
        append_count_records(name, job, block, batch);
    }
}

std::optional<cell_batch> cell::next_batch(time_point now)
{
    if (in_flight_batch_ ||
        (sweep_.empty() && dirty_blocks_.empty() && removed_jobs_.empty() &&
         workers_with_new_ends_.empty() && external_records_.empty()))
    {
        return std::nullopt;
    }
    if (sweep_.empty())
    {
        sweep_ = std::exchange(dirty_blocks_, {});
        for (auto const& name : std::exchange(workers_with_new_ends_, {}))
        {
            auto const worker = workers_.find(name);
            if (worker != workers_.end())
            {
                sweep_ends_[name] = worker->second.read_;
            }
        }
    }
    batch_effects effects;
    cell_batch batch;
    std::size_t bytes = 0;
    std::size_t measured = 0;
    while (!sweep_.empty() && bytes < options_.max_batch_bytes_)
    {
        auto const next = std::move(sweep_.front());
        sweep_.pop_front();
        append_block(next.first, next.second, batch, effects);
        for (; measured < batch.records_.size(); ++measured)
        {
            bytes += size_bound(batch.records_[measured]);
        }
    }
    if (sweep_.empty())
    {
        effects.ends_ = std::exchange(sweep_ends_, {});
    }
    for (auto const& name : std::exchange(removed_jobs_, {}))
    {
        batch.records_.push_back(
            {record_kind::progress, name, nullptr, std::nullopt, std::nullopt});
    }
    std::move(external_records_.begin(), external_records_.end(),
              std::back_inserter(batch.records_));
    external_records_.clear();
    effects.last_record_number_ = last_record_number_;
    if (batch.records_.empty())
    {
        // No state changed, so that the ended runs need no record.
        for (auto const& end : effects.ends_)
        {
            workers_.at(end.first).recorded_ = end.second;
        }
        return std::nullopt;
    }
    in_flight_batch_ = std::move(effects);
    batch_sent_at_ = now;
    return batch;
}

void cell::on_batch_stored(time_point now)
{
    if (!in_flight_batch_)
    {
        return;
    }
    auto const effects = std::move(*in_flight_batch_);
    in_flight_batch_.reset();
    for (auto const& end : effects.ends_)
    {
        auto const worker = workers_.find(end.first);
        if (worker != workers_.end())
        {
            worker->second.recorded_ = end.second;
        }
    }
    bool ended = false;
    for (auto const& written : effects.jobs_)
    {
        auto const found = jobs_.find(written.first.text());
        if (found != jobs_.end())
        {
            auto& job = found->second;
            job.stored_ = true;
            job.stored_status_ = written.second;
            answer_waiting_clients(job);
            ended = ended || job.stored_status_ != job_status::queued;
        }
    }
    stored_record_number_ = effects.last_record_number_;
    if (ended)
    {
        repeat_stops(now);
    }
    for (auto const& start : effects.starts_)
    {
        send_start(start.first, start.second, now);
    }
}

void cell::on_record_rejected(std::string const& name, time_point now)
{
    auto const found = jobs_.find(name.substr(0, name.find('.')));
    if (found == jobs_.end() || found->second.ended())
    {
        return;
    }
    auto& job = found->second;
    fail_job(job, "record_rejected", now);
    for (auto const exchange : std::exchange(job.accept_waiters_, {}))
    {
        reply(exchange, make_answer(answer_kind::too_large, "record_rejected"));
    }
}

std::uint64_t cell::append_record(cell_record record)
{
    external_records_.push_back(std::move(record));
    return ++last_record_number_;
}

bool cell::is_stored(std::uint64_t number) const
{
    return number <= stored_record_number_;
}

void cell::answer_waiting_clients(job_state& job)
{
    for (auto const exchange : std::exchange(job.accept_waiters_, {}))
    {
        reply(exchange, make_answer(answer_kind::accepted, "stored"));
    }
    if (job.stored_status_ == job_status::queued)
    {
        return;
    }
    for (auto const exchange : std::exchange(job.cancel_waiters_, {}))
    {
        reply(exchange, make_answer(answer_kind::accepted, "cancel_stored"));
    }
}

void cell::send_start(task_id const& task, std::uint32_t run, time_point now)
{
    auto const at = find(task);
    if (!at || at.task_->phase_ != task_phase::placed || at.task_->run_ != run)
    {
        return;
    }
    auto const found = workers_.find(at.task_->worker_);
    bool const usable =
        found != workers_.end() && found->second.fenced_ &&
        has_current_registration(found->second) && !found->second.unlisted_ &&
        !found->second.entry_.draining_ && can_start(now) && !at.job_->ended();
    if (!usable)
    {
        release(task, at, now);
        return;
    }
    auto& worker = found->second;
    // `used_` includes the task. The worker may have shrunk since it was
    // placed.
    if (!worker.used_.fits(worker.entry_.size_))
    {
        log_event("start_withheld", describe(task),
                  worker.entry_.id_ + " no_room");
        release(task, at, now);
        return;
    }
    // The limit may have been lowered since. A gang starts whole or not at all,
    // and its members are sent one by one.
    bool const exceeds_limit = at.job_->account_ != nullptr &&
                               !at.shape_->gang_ &&
                               at.job_->account_->exceeds_limit();
    if (exceeds_limit)
    {
        log_event("start_withheld", describe(task), "workspace_limit");
        release(task, at, now);
        return;
    }
    bool const checked = advice_for(*at.job_) != nullptr;
    step_id const step{task.job_, task.occurrence_, task.step_};
    auto ticket =
        checked ? tickets_.ticket(step, worker.entry_.id_, now) : std::string();
    if (checked && ticket.empty())
    {
        log_event("ticket_expired", describe(task), worker.entry_.id_);
        release(task, at, now);
        return;
    }
    at.task_->phase_ = task_phase::starting;
    at.task_->own_start_ = true;
    at.task_->start_in_flight_ = true;
    at.task_->start_sent_ = now;
    at.task_->started_ = now;
    at.task_->progressed_at_ = now;
    start_run order;
    order.worker_ = worker.entry_.id_;
    order.address_ = worker.entry_.address_;
    order.task_ = task;
    order.run_ = run;
    order.job_ = at.job_->request_;
    order.lease_until_ = lease_for(worker, now);
    at.task_->start_expires_at_ = order.lease_until_;
    order.checkpoint_ = at.task_->checkpoint_;
    order.ticket_ = std::move(ticket);
    order.token_offset_ = worker.token_offset_;
    actions_.emplace_back(std::move(order));
}

void cell::restore(job_definition request, time_point now)
{
    auto const name = request.id_.text();
    auto& job = jobs_[name];
    job.request_ = std::make_shared<job_definition const>(std::move(request));
    job.route_ = job.request_->route_;
    job.pool_ = job.request_->pool_;
    job.account_ = accounts_.ensure(job.request_->workspace_);
    job.request_written_ = true;
    job.stored_ = true;
    make_room(job);
    initialize_job(job, now);
}

void cell::make_room(job_state& job)
{
    auto const needed = memory_bound(*job.request_);
    while (job_memory_ + needed > options_.max_job_memory_)
    {
        auto const largest =
            std::max_element(jobs_.begin(), jobs_.end(),
                             [](auto const& a, auto const& b)
                             { return a.second.memory_ < b.second.memory_; });
        if (largest->second.memory_ <= needed)
        {
            job.exceeds_memory_ = true;
            return;
        }
        largest->second.exceeds_memory_ = true;
        release_memory(largest->second);
    }
    job.memory_ = needed;
    job_memory_ += needed;
}

void cell::release_memory(job_state& job)
{
    job_memory_ -= std::exchange(job.memory_, 0);
    job.occurrences_ = {};
}

void cell::restore_progress(std::string const& name,
                            job_progress const& progress, time_point now)
{
    auto const id = parse_block_name(name);
    if (id.second != 0)
    {
        restore_block(id.first, id.second, progress, now);
        return;
    }
    auto& job = jobs_[name];
    job.stored_ = true;
    job.status_ = progress.status_;
    job.stored_status_ = progress.status_;
    if (job.ended())
    {
        job.ended_ = now;
        job.account_ = accounts_.ensure(progress.workspace_);
        return;
    }
    if (!job.request_)
    {
        return;
    }
    std::set<block_number> others;
    for (auto const& record : progress.tasks_)
    {
        restore_task(id.first, job, record, now);
        if (record.task_.step_ < job.request_->steps_.size())
        {
            others.insert(job.blocks_.block_of(record.task_));
        }
    }
    // A record of a program that wrote one for all tasks is replaced after
    // those of the other blocks are written.
    others.erase(0);
    for (auto const block : others)
    {
        mark_dirty(job, block);
    }
    if (!others.empty())
    {
        mark_dirty(job);
    }
}

void cell::restore_block(job_id const& id, block_number block,
                         job_progress const& progress, time_point now)
{
    auto const found = jobs_.find(id.text());
    if (found == jobs_.end() || found->second.ended() ||
        !found->second.request_)
    {
        delete_record(record_kind::progress, block_name(id.text(), block));
        return;
    }
    auto& job = found->second;
    job.stored_blocks_.insert(block);
    for (auto const& record : progress.tasks_)
    {
        restore_task(id, job, record, now);
    }
}

void cell::restore_task(job_id const& id, job_state& job,
                        task_record const& record, time_point now)
{
    if (job.exceeds_memory_)
    {
        return;
    }
    while (job.occurrences_.size() <= record.task_.occurrence_ &&
           job.occurrences_.size() < job.request_->occurrences_)
    {
        add_occurrence(job);
    }
    task_id task = record.task_;
    task.job_ = id;
    auto const at = find(task);
    if (!at || at.task_->phase_ == task_phase::done)
    {
        return;
    }
    if (!at.task_->worker_.empty())
    {
        // The record of all tasks had an earlier state.
        release(task, at, now);
    }
    at.task_->run_ = record.run_;
    at.task_->failures_ = record.failures_;
    at.task_->checkpoint_ = record.checkpoint_;
    job.begun_ = job.begun_ || record.done_ || record.failures_ > 0;
    if (record.done_)
    {
        at.task_->phase_ = task_phase::done;
        --at.step_->waiting_;
        ++at.step_->done_;
    }
    else if (!record.worker_.empty())
    {
        ensure_worker(record.worker_, now);
        occupy(task, at, record.worker_);
        at.task_->phase_ = task_phase::unresolved;
    }
}

void cell::restore_gangs(job_state& job, time_point now)
{
    for (std::uint32_t k = 0; k < job.occurrences_.size(); ++k)
    {
        for (std::uint32_t s = 0; s < job.request_->steps_.size(); ++s)
        {
            auto& step = job.occurrences_[k].steps_[s];
            bool const is_gang = job.request_->steps_[s].gang_;
            if (is_gang)
            {
                restore_failed_run(step);
            }
            bool const is_split =
                is_gang && step.done_ > 0 && step.done_ < step.tasks_.size();
            task_id const first{job.request_->id_, k, s, 0};
            if (is_split)
            {
                complete_run(first, find(first), now);
            }
        }
    }
}

void cell::finish_restore(time_point now)
{
    for (auto it = jobs_.begin(); it != jobs_.end();)
    {
        auto& job = it->second;
        bool const has_no_request = !job.ended() && !job.request_;
        if (has_no_request)
        {
            log_event("record_ignored", it->first, "progress_without_request");
            it = jobs_.erase(it);
            continue;
        }
        if (!job.ended())
        {
            auto const* const route = config_.find_by_name(job.route_);
            auto const longest_chain = run_times_.longest_chain(
                *job.request_, duration{0}, job.account_);
            job.objective_ =
                now + longest_chain +
                (route != nullptr ? route->objective_ : duration{0});
            open_jobs_[it->first] = &job;
            if (job.exceeds_memory_)
            {
                fail_job(job, "job_memory", now);
                ++it;
                continue;
            }
            restore_gangs(job, now);
            for (auto& occurrence : job.occurrences_)
            {
                update_done(occurrence);
            }
            complete_if_done(job, now);
        }
        else
        {
            release_memory(job);
            job.request_.reset();
        }
        ++it;
    }
    set_config(fleet_config(config_));
}

std::set<std::string> cell::jobs_on_workers() const
{
    std::set<std::string> jobs;
    for (auto const& worker : workers_)
    {
        for (auto const& task : worker.second.tasks_)
        {
            jobs.insert(task.job_.text());
        }
        // What they occupy is known from their job's definition.
        for (auto const& orphan : worker.second.orphaned_runs_)
        {
            auto const job = jobs_.find(orphan.first.job_.text());
            if (job != jobs_.end() && job->second.account_ != nullptr)
            {
                jobs.insert(job->first);
            }
        }
    }
    return jobs;
}

void cell::remove_ended_jobs(time_point now)
{
    if (now < next_cleanup_)
    {
        return;
    }
    next_cleanup_ = now + cleanup_interval;
    delete_unused_policies();
    auto const busy = jobs_on_workers();
    for (auto it = jobs_.begin(); it != jobs_.end();)
    {
        auto& job = it->second;
        if (!job.ended() || job.stored_status_ != job.status_ ||
            !job.dirty_blocks_.empty() || busy.count(it->first) != 0)
        {
            ++it;
            continue;
        }
        release_memory(job);
        job.request_.reset();
        open_jobs_.erase(it->first);
        if (job.ended_ + options_.ended_job_retention_ > now)
        {
            ++it;
            continue;
        }
        forget_lost_runs(job_id{it->first});
        removed_jobs_.push_back(it->first);
        it = jobs_.erase(it);
    }
}

} // namespace cuminfold
