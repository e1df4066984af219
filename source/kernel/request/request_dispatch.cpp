#include "kernel/request/request_engine.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// Ratio of an attempt's timeout to the 99th percentile of run times, if
/// another attempt may follow.
constexpr int attempt_timeout_factor = 3;

/// The reasons that a dispatch to a worker leads to.
struct end_reasons
{
    dispatch_end end_;
    /// The reason if the request ends; `total`: it does not end without an
    /// answer.
    reason cause_;
    /// The reason if the request is retried; `total`: it is not.
    reason retry_;
};

constexpr end_reasons end_reason_table[] = {
    {dispatch_end::answered, reason::total, reason::total},
    {dispatch_end::worker_error, reason::total, reason::retry_worker_error},
    {dispatch_end::not_started, reason::worker_refused,
     reason::retry_worker_refused},
    {dispatch_end::not_sent, reason::worker_refused,
     reason::retry_connect_failed},
    {dispatch_end::lost, reason::worker_lost, reason::retry_worker_lost},
    {dispatch_end::timeout, reason::worker_timeout, reason::retry_worker_lost},
    {dispatch_end::truncated, reason::reply_truncated,
     reason::retry_reply_broken},
    {dispatch_end::mismatched, reason::reply_mismatched,
     reason::retry_reply_broken},
    {dispatch_end::too_large, reason::reply_too_large,
     reason::retry_reply_broken},
};

end_reasons const& reasons_of(dispatch_end end)
{
    return *std::find_if(
        std::begin(end_reason_table), std::end(end_reason_table),
        [&](end_reasons const& row) { return row.end_ == end; });
}

bool proved_not_started(dispatch_end end)
{
    return end == dispatch_end::not_started || end == dispatch_end::not_sent;
}

/// True if the cause may disappear over time, without a change of the request
/// or the configuration.
bool is_temporary(reason cause)
{
    switch (cause)
    {
    case reason::unknown_service:
    case reason::bad_request:
    case reason::body_too_large:
    case reason::key_required:
    case reason::claim_mismatch:
        return false;
    default:
        return true;
    }
}

} // namespace

bool request_engine::dispatch(gateway_context& context, request_entry& entry)
{
    worker_entry* const worker = choose(context.now_, entry);
    if (worker == nullptr)
    {
        return false;
    }
    record_wait(context.now_, entry);
    leave_queue(entry);
    clear_timer(entry);
    ++entry.attempts_;
    entry.phase_ = request_phase::dispatched;
    entry.dispatch_ = next_dispatch_++;
    entry.vm_ = worker->vm_;
    entry.dispatched_at_ = context.now_;
    entry.tried_.push_back(worker->vm_);
    entry.progress_.dispatched();
    ++worker->in_flight_;
    dispatches_[entry.dispatch_] = entry.number_;
    context.act(dispatch_to_worker{
        entry.dispatch_, entry.request_.request_, worker->vm_, worker->address_,
        entry.request_.service_, entry.deadline_ - context.now_,
        entry.request_.urgent_});
    set_timer(entry, attempt_deadline(context.now_, entry));
    return true;
}

worker_entry* request_engine::choose(time_point now, request_entry const& entry)
{
    static std::vector<vm_id> const none;
    auto const& excluded = retry_->changes_worker() ? entry.tried_ : none;
    auto const workers =
        workers_->candidates(now, entry.pool_, excluded, !entry.idempotent_);
    if (workers.empty())
    {
        return nullptr;
    }
    std::vector<worker_view> views;
    views.reserve(workers.size());
    for (auto const* worker : workers)
    {
        views.push_back(workers_->view(now, *worker));
    }
    auto const chosen =
        routing_->choose(views, gateways_in_data_centre_, random_);
    return chosen ? workers[*chosen] : nullptr;
}

time_point request_engine::attempt_deadline(time_point now,
                                            request_entry const& entry)
{
    bool const is_last = !entry.idempotent_ || !retry_->changes_worker() ||
                         entry.attempts_ >= options_->attempts_;
    if (is_last)
    {
        return entry.deadline_;
    }
    auto const& run_time = stats(entry.request_.service_).run_time_;
    duration const timeout = run_time.has_enough_samples()
                                 ? run_time.p99() * attempt_timeout_factor
                                 : (entry.deadline_ - now) / 2;
    time_point const end = now + std::max(timeout, options_->attempt_floor_);
    return end + run_time.p95() < entry.deadline_ ? end : entry.deadline_;
}

bool request_engine::forward(gateway_context& context, request_entry& entry,
                             gateway_entry const* gateway)
{
    duration const left =
        entry.deadline_ - context.now_ - options_->hop_margin_;
    if (gateway == nullptr || left <= duration{0})
    {
        return false;
    }
    ++entry.attempts_;
    entry.phase_ = request_phase::forwarded;
    entry.dispatch_ = next_dispatch_++;
    entry.gateway_address_ = gateway->address_;
    entry.dispatched_at_ = context.now_;
    entry.progress_.dispatched();
    dispatches_[entry.dispatch_] = entry.number_;
    caller_request const& request = entry.request_;
    context.act(forward_to_gateway{
        entry.dispatch_, request.request_, gateway->address_, request.service_,
        request.team_, request.key_, entry.idempotent_, left, request.urgent_,
        request.hops_ + 1});
    set_timer(entry, entry.deadline_);
    return true;
}

void request_engine::on_dispatch_result(gateway_context& context,
                                        dispatch_result const& result)
{
    auto const found = dispatches_.find(result.dispatch_);
    if (found == dispatches_.end())
    {
        context.count(reason::late_reply);
        return;
    }
    request_entry& entry = requests_.at(found->second);
    dispatches_.erase(found);
    clear_timer(entry);
    if (proved_not_started(result.end_))
    {
        entry.progress_.dispatch_not_started();
    }
    else
    {
        entry.progress_.dispatch_may_have_run();
    }
    if (entry.phase_ == request_phase::forwarded)
    {
        finish_forward(context, entry, result);
    }
    else
    {
        finish_worker(context, entry, result);
    }
}

void request_engine::finish_worker(gateway_context& context,
                                   request_entry& entry,
                                   dispatch_result const& result)
{
    record_worker_result(context, entry, result);
    if (result.end_ == dispatch_end::answered)
    {
        duration const run_time = context.now_ - entry.dispatched_at_;
        stats(entry.request_.service_).run_time_.add(run_time);
        budget(entry.pool_).on_success();
        answer(context, entry, result);
        return;
    }
    end_reasons const& reasons = reasons_of(result.end_);
    if (result.end_ == dispatch_end::not_started && requeue(context, entry))
    {
        return;
    }
    bool const may_repeat =
        proved_not_started(result.end_) || entry.idempotent_;
    if (may_repeat && !entry.caller_gone_ &&
        retry(context, entry, reasons.retry_))
    {
        return;
    }
    if (result.end_ == dispatch_end::worker_error)
    {
        answer(context, entry, result);
        return;
    }
    end_unanswered(context, entry, reasons.cause_);
}

void request_engine::finish_forward(gateway_context& context,
                                    request_entry& entry,
                                    dispatch_result const& result)
{
    bool const has_reply = result.end_ == dispatch_end::answered ||
                           result.end_ == dispatch_end::worker_error;
    if (has_reply)
    {
        answer(context, entry, result);
        return;
    }
    if (!result.cause_)
    {
        // The gateway sent no refusal, so it may be down.
        forwards_.on_failure(entry.gateway_address_,
                             context.now_ + options_->forward_hold_);
    }
    if (result.end_ == dispatch_end::not_sent &&
        entry.attempts_ < options_->attempts_)
    {
        context.count(reason::retry_connect_failed);
        check_workers(context, entry);
        return;
    }
    reason const default_cause = result.end_ == dispatch_end::not_sent
                                     ? reason::no_worker
                                     : reason::forward_lost;
    end_unanswered(context, entry, result.cause_.value_or(default_cause),
                   result.retry_after_);
}

void request_engine::record_worker_result(gateway_context& context,
                                          request_entry const& entry,
                                          dispatch_result const& result)
{
    worker_entry* const worker = workers_->find(entry.vm_);
    if (worker == nullptr)
    {
        return;
    }
    --worker->in_flight_;
    workers_->record_load(context.now_, *worker, result.busy_slots_);
    if (result.worker_leaving_ &&
        workers_->hint(context.now_, worker->vm_, true))
    {
        context.act(report_hint{vm_hint{worker->vm_, true}});
    }
    if (result.end_ == dispatch_end::not_started)
    {
        workers_->mark_full(context.now_, *worker);
        return;
    }
    if (result.end_ == dispatch_end::timeout)
    {
        // A timeout shorter than usual run times is due to the caller's
        // deadline and does not count against the worker.
        duration const allowed = context.now_ - entry.dispatched_at_;
        if (allowed < stats(entry.request_.service_).run_time_.p99())
        {
            return;
        }
    }
    bool const succeeded = result.end_ == dispatch_end::answered;
    if (workers_->count(context.now_, *worker, succeeded))
    {
        context.count(reason::worker_ejected);
    }
}

bool request_engine::requeue(gateway_context& context, request_entry& entry)
{
    bool const may_wait =
        retry_->changes_worker() && !entry.caller_gone_ &&
        entry.requeues_ < options_->max_requeues_ &&
        registration_->may_dispatch(context.now_, *log_) &&
        workers_->has_available_worker(context.now_, entry.pool_);
    if (!may_wait)
    {
        return false;
    }
    // The request did not start, so this counts neither as an attempt nor
    // against the retry budget.
    context.count(reason::retry_worker_refused);
    ++entry.requeues_;
    --entry.attempts_;
    entry.tried_.pop_back();
    dispatch_or_enqueue(context, entry, true);
    return true;
}

bool request_engine::retry(gateway_context& context, request_entry& entry,
                           reason cause)
{
    retry_view view;
    view.attempts_ = entry.attempts_;
    view.time_left_ = entry.deadline_ - context.now_;
    view.service_ = stats(entry.request_.service_).run_time_.p50();
    auto const delay = retry_->delay(view, *options_, random_);
    if (!delay || !has_other_worker(context.now_, entry))
    {
        return false;
    }
    if (retry_->budgeted() && !budget(entry.pool_).take_token())
    {
        context.count(reason::retry_budget_empty);
        return false;
    }
    context.count(cause);
    entry.phase_ = request_phase::waiting_retry;
    if (*delay == duration{0})
    {
        dispatch_or_enqueue(context, entry, true);
        return true;
    }
    set_timer(entry, context.now_ + *delay);
    return true;
}

bool request_engine::has_other_worker(time_point now,
                                      request_entry const& entry)
{
    if (!registration_->may_dispatch(now, *log_))
    {
        return false;
    }
    if (!retry_->changes_worker())
    {
        return workers_->has_available_worker(now, entry.pool_);
    }
    return workers_->has_available_worker(now, entry.pool_, entry.tried_);
}

void request_engine::on_attempt_timeout(gateway_context& context,
                                        request_entry& entry)
{
    bool const deadline_passed = context.now_ >= entry.deadline_;
    bool const can_retry = !deadline_passed &&
                           budget(entry.pool_).available() &&
                           has_other_worker(context.now_, entry);
    if (!deadline_passed && !can_retry)
    {
        set_timer(entry, entry.deadline_);
        return;
    }
    bool const forwarded = entry.phase_ == request_phase::forwarded;
    if (!forwarded)
    {
        dispatch_result end;
        end.end_ = dispatch_end::timeout;
        record_worker_result(context, entry, end);
    }
    context.act(close_dispatch{entry.dispatch_});
    dispatches_.erase(entry.dispatch_);
    entry.progress_.dispatch_may_have_run();
    if (can_retry && retry(context, entry, reason::retry_worker_lost))
    {
        return;
    }
    end_unanswered(context, entry,
                   forwarded ? reason::forward_lost : reason::worker_timeout);
}

void request_engine::close_attempt(gateway_context& context,
                                   request_entry& entry)
{
    context.act(close_dispatch{entry.dispatch_});
    dispatches_.erase(entry.dispatch_);
    entry.progress_.dispatch_may_have_run();
    if (entry.phase_ == request_phase::dispatched)
    {
        worker_entry* const worker = workers_->find(entry.vm_);
        if (worker != nullptr)
        {
            --worker->in_flight_;
        }
    }
}

void request_engine::answer(gateway_context& context, request_entry& entry,
                            dispatch_result const& result)
{
    if (!entry.claim_.empty())
    {
        claims_->answered(entry.claim_, result);
    }
    if (!entry.caller_gone_)
    {
        context.act(send_answer{entry.request_.request_, result.dispatch_});
    }
    erase(entry);
}

void request_engine::end_unanswered(gateway_context& context,
                                    request_entry& entry, reason cause)
{
    end_unanswered(context, entry, cause, retry_after(cause, duration{0}));
}

void request_engine::end_unanswered(gateway_context& context,
                                    request_entry& entry, reason cause,
                                    duration retry_after)
{
    context.count(cause);
    request_id const& request = entry.request_.request_;
    entry.progress_.conclude(
        [&](not_started_proof proof)
        {
            if (!entry.claim_.empty())
            {
                claims_->abandon(entry.claim_);
            }
            if (!entry.caller_gone_)
            {
                context.act(
                    send_refusal{request, not_run{proof, cause, retry_after}});
            }
        },
        [&]
        {
            if (!entry.claim_.empty())
            {
                claims_->unknown(entry.claim_, cause);
            }
            if (!entry.caller_gone_)
            {
                context.act(
                    send_unknown{request, outcome_unknown{cause, duration{0}}});
            }
        });
    erase(entry);
}

void request_engine::erase(request_entry& entry)
{
    clear_timer(entry);
    leave_queue(entry);
    if (entry.counted_in_team_)
    {
        quotas_.release(entry.request_.team_);
    }
    numbers_.erase(entry.request_.request_);
    requests_.erase(entry.number_);
}

duration request_engine::retry_after(reason cause, duration wait)
{
    if (!is_temporary(cause))
    {
        return duration{0};
    }
    // The jitter keeps callers that were refused together from retrying
    // together.
    duration const floor = options_->retry_after_floor_;
    duration const jitter{
        static_cast<duration::rep>(random_() % (floor.count() + 1))};
    return std::max(wait, floor) + jitter;
}

retry_budget& request_engine::budget(pool_name const& pool)
{
    return budgets_.try_emplace(pool, options_->retry_budget_).first->second;
}

} // namespace cuminfold
