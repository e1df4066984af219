#include "kernel/request/request_engine.hpp"

#include "kernel/registry.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// The wait ratio, in thousandths, of a request that waited as predicted.
constexpr duration::rep wait_ratio_unit = 1000;

/// Shorter predicted waits are not compared: the resolution of the clock would
/// dominate their ratio.
constexpr duration min_recorded_wait = std::chrono::milliseconds{5};

claim_key make_key(caller_request const& request)
{
    return claim_key{request.service_.text() + "/" + request.key_};
}

} // namespace

request_engine::request_engine(gateway_settings const& settings,
                               gateway_log const& log,
                               gateway_registration const& registration,
                               claim_manager& claims, worker_table& workers)
    : settings_(&settings), options_(&settings.requests_), log_(&log),
      registration_(&registration), claims_(&claims), workers_(&workers),
      routing_(
          registry<routing_strategy>::instance().find(settings.routing_)()),
      admission_(
          registry<admission_strategy>::instance().find(settings.admission_)()),
      retry_(registry<retry_strategy>::instance().find(settings.retry_)()),
      random_(settings.seed_)
{
}

void request_engine::submit(gateway_context& context,
                            caller_request const& request)
{
    request_entry* const entry = add(context, request);
    if (entry == nullptr)
    {
        return;
    }
    if (auto const cause = validate(context, *entry))
    {
        end_unanswered(context, *entry, *cause);
        return;
    }
    if (!check_workers(context, *entry) || !check_claim(context, *entry) ||
        !check_quota(context, *entry) || !check_admission(context, *entry))
    {
        return;
    }
    quotas_.acquire(request.team_);
    entry->counted_in_team_ = true;
    if (entry->idempotent_)
    {
        dispatch_or_enqueue(context, *entry, false);
        return;
    }
    entry->phase_ = request_phase::claiming;
    entry->claim_ = make_key(request);
    claims_->open(context.now_, entry->claim_, request.body_digest_,
                  request.request_);
    set_timer(*entry,
              entry->deadline_ - stats(request.service_).run_time_.p95());
}

request_entry* request_engine::add(gateway_context& context,
                                   caller_request const& request)
{
    request_number const number = next_request_;
    if (!numbers_.emplace(request.request_, number).second)
    {
        return nullptr;
    }
    ++next_request_;
    request_entry& entry = requests_[number];
    entry.number_ = number;
    entry.request_ = request;
    entry.arrived_ = context.now_;
    return &entry;
}

std::optional<reason> request_engine::validate(gateway_context& context,
                                               request_entry& entry)
{
    if (stopping_)
    {
        return reason::leaving;
    }
    if (log_->config().version() == no_offset)
    {
        return reason::not_ready;
    }
    caller_request const& request = entry.request_;
    service_spec const* const service = find_service(request.service_);
    if (service == nullptr)
    {
        return reason::unknown_service;
    }
    duration const left = request.deadline_.value_or(service->deadline_);
    entry.pool_ = service->pool_;
    entry.idempotent_ = request.idempotent_.value_or(service->idempotent_);
    entry.deadline_ = context.now_ + left;
    if (left <= duration{0})
    {
        return reason::deadline_passed;
    }
    if (!entry.idempotent_ && request.key_.empty())
    {
        return reason::key_required;
    }
    return std::nullopt;
}

bool request_engine::check_workers(gateway_context& context,
                                   request_entry& entry)
{
    bool const may_forward = entry.request_.hops_ == 0;
    time_point const now = context.now_;
    if (!registration_->may_dispatch(now, *log_))
    {
        auto const* const gateway =
            forwards_.choose(now, log_->fleet(), settings_->self_.node_,
                             settings_->data_centre_, random_);
        if (!may_forward || !forward(context, entry, gateway))
        {
            end_unanswered(context, entry, reason::not_ready);
        }
        return false;
    }
    if (workers_->has_available_worker(now, entry.pool_))
    {
        return true;
    }
    auto const* const gateway = forwards_.choose_elsewhere(
        now, log_->fleet(), settings_->data_centre_, entry.pool_, random_);
    if (may_forward && forward(context, entry, gateway))
    {
        return false;
    }
    bool const hop_limited = gateway != nullptr && !may_forward;
    end_unanswered(context, entry,
                   hop_limited ? reason::hop_limit : reason::no_worker);
    return false;
}

bool request_engine::check_claim(gateway_context& context, request_entry& entry)
{
    if (entry.idempotent_)
    {
        return true;
    }
    auto const verdict = claims_->check(*log_, make_key(entry.request_),
                                        entry.request_.body_digest_);
    if (verdict == claim_status::free)
    {
        return true;
    }
    answer_repeat(context, entry, verdict);
    return false;
}

void request_engine::answer_repeat(gateway_context& context,
                                   request_entry& entry, claim_status verdict)
{
    // The work of a claimed key may have run or be running, so the answer must
    // not mean "not run". Two cases are refused as "not run" because no worker
    // started this request: the key was used with another body, or its claims
    // cannot be read at present.
    request_id const& request = entry.request_.request_;
    auto const send_unknown_outcome = [&](reason cause, duration after)
    {
        context.count(cause);
        context.act(send_unknown{request, outcome_unknown{cause, after}});
        erase(entry);
    };
    switch (verdict)
    {
    case claim_status::kept:
    {
        claim_entry const* const claim =
            claims_->find(make_key(entry.request_));
        context.act(send_kept_answer{request, claim->status_,
                                     claim->content_type_, claim->answer_});
        erase(entry);
        return;
    }
    case claim_status::answer_not_kept:
        send_unknown_outcome(reason::claim_taken, duration{0});
        return;
    case claim_status::unknown:
        send_unknown_outcome(reason::claim_outcome_unknown, duration{0});
        return;
    case claim_status::running:
        send_unknown_outcome(reason::claim_running,
                             retry_after(reason::claim_running, duration{0}));
        return;
    case claim_status::mismatch:
        end_unanswered(context, entry, reason::claim_mismatch);
        return;
    default:
        end_unanswered(context, entry, reason::claim_log_unavailable);
        return;
    }
}

bool request_engine::check_quota(gateway_context& context, request_entry& entry)
{
    auto const verdict = quotas_.check(*log_->config().current(),
                                       entry.request_.team_, gateways_total_);
    if (verdict == quota_verdict::refuse)
    {
        end_unanswered(context, entry, reason::quota_exceeded);
        return false;
    }
    if (verdict == quota_verdict::borrow)
    {
        entry.class_ = queue_class::borrowing;
    }
    else if (entry.request_.urgent_)
    {
        entry.class_ = queue_class::urgent;
    }
    return true;
}

bool request_engine::check_admission(gateway_context& context,
                                     request_entry& entry)
{
    entry.predicted_wait_ = predict_wait(context.now_, entry);
    admission_view const view = make_admission_view(context, entry);
    auto const refused = admission_->refuse(view);
    if (!refused)
    {
        return true;
    }
    if (*refused == reason::queue_full && evict_lower_class(context, entry))
    {
        return true;
    }
    auto& service = stats(entry.request_.service_);
    bool const idle = view.wait_ == duration{0};
    if (*refused == reason::deadline_unreachable && idle &&
        context.now_ - service.probed_at_ >= options_->probe_interval_)
    {
        // The measured run times may be outdated; a probe updates them.
        service.probed_at_ = context.now_;
        return true;
    }
    end_unanswered(context, entry, *refused, retry_after(*refused, view.wait_));
    return false;
}

bool request_engine::evict_lower_class(gateway_context& context,
                                       request_entry const& entry)
{
    auto& queue = queues_[entry.pool_];
    auto const found = requests_.find(queue.youngest_below(entry.class_));
    if (found == requests_.end())
    {
        return false;
    }
    end_unanswered(context, found->second, reason::queue_full);
    return true;
}

admission_view
request_engine::make_admission_view(gateway_context const& context,
                                    request_entry const& entry)
{
    service_name const& service = entry.request_.service_;
    request_queue const& queue = queues_[entry.pool_];
    auto const& run_time = stats(service).run_time_;
    admission_view view;
    view.time_left_ = entry.deadline_ - context.now_;
    if (!entry.idempotent_)
    {
        view.time_left_ -= claims_->latency();
    }
    view.service_ =
        run_time.has_enough_samples() ? run_time.p95() : duration{0};
    view.queued_ = queue.size(service);
    view.queue_limit_ = settings_->queue_limit_;
    auto const& ratio = wait_ratios_[entry.pool_];
    view.wait_ = entry.predicted_wait_;
    if (ratio.has_enough_samples())
    {
        view.wait_ = view.wait_ * ratio.p99().count() / wait_ratio_unit;
    }
    return view;
}

duration request_engine::predict_wait(time_point now,
                                      request_entry const& entry)
{
    request_queue const& queue = queues_[entry.pool_];
    if (queue.empty() && choose(now, entry) != nullptr)
    {
        return duration{0};
    }
    std::uint32_t const slots = std::max(
        workers_->slots(now, entry.pool_) / gateways_in_data_centre_, 1U);
    duration const ahead = queue.work_before(entry.class_) +
                           expected_run_time(entry.request_.service_);
    return ahead / slots;
}

void request_engine::record_wait(time_point now, request_entry const& entry)
{
    bool const comparable = entry.place_ && entry.attempts_ == 0 &&
                            entry.requeues_ == 0 &&
                            entry.predicted_wait_ >= min_recorded_wait;
    if (!comparable)
    {
        return;
    }
    duration const waited = now - entry.arrived_;
    wait_ratios_[entry.pool_].add(waited * wait_ratio_unit /
                                  entry.predicted_wait_.count());
}

void request_engine::dispatch_or_enqueue(gateway_context& context,
                                         request_entry& entry, bool at_front)
{
    clear_timer(entry);
    request_queue& queue = queues_[entry.pool_];
    if ((at_front || queue.empty()) && dispatch(context, entry))
    {
        return;
    }
    service_name const& service = entry.request_.service_;
    entry.phase_ = request_phase::queued;
    entry.place_ = queue.add(entry.number_, entry.class_, service,
                             expected_run_time(service), at_front);
    auto const& run_time = stats(service).run_time_;
    bool const sheds =
        admission_->sheds_unreachable() && run_time.has_enough_samples();
    set_timer(entry, entry.deadline_ - (sheds ? run_time.p95() : duration{0}));
}

void request_engine::on_caller_disconnected(gateway_context& context,
                                            request_id const& request)
{
    auto const found = numbers_.find(request);
    if (found == numbers_.end())
    {
        return;
    }
    request_entry& entry = requests_.at(found->second);
    context.count(reason::cancelled);
    bool const claimed_run =
        entry.phase_ == request_phase::dispatched && !entry.claim_.empty();
    if (claimed_run)
    {
        // The answer is recorded for a later request with the same key.
        entry.caller_gone_ = true;
        return;
    }
    bool const in_flight = entry.phase_ == request_phase::dispatched ||
                           entry.phase_ == request_phase::forwarded;
    if (in_flight)
    {
        close_attempt(context, entry);
    }
    if (!entry.claim_.empty())
    {
        claims_->abandon(entry.claim_);
    }
    erase(entry);
}

void request_engine::on_claim_resolved(gateway_context& context,
                                       claim_resolution const& resolution)
{
    auto const found = numbers_.find(resolution.request_);
    if (found == numbers_.end())
    {
        return;
    }
    request_entry& entry = requests_.at(found->second);
    if (entry.phase_ != request_phase::claiming)
    {
        return;
    }
    if (resolution.won_)
    {
        dispatch_or_enqueue(context, entry, false);
        return;
    }
    entry.claim_ = claim_key{};
    auto verdict =
        claims_->check(*log_, resolution.key_, entry.request_.body_digest_);
    if (verdict == claim_status::free)
    {
        // The claim that won may have been abandoned later in the same read.
        // This request lost its own claim, so its caller has to try again.
        verdict = claim_status::running;
    }
    answer_repeat(context, entry, verdict);
}

void request_engine::expire(gateway_context& context)
{
    while (!timers_.empty() && timers_.begin()->first <= context.now_)
    {
        request_number const number = timers_.begin()->second;
        request_entry& entry = requests_.at(number);
        clear_timer(entry);
        on_timer(context, entry);
    }
}

void request_engine::on_timer(gateway_context& context, request_entry& entry)
{
    bool const deadline_passed = context.now_ >= entry.deadline_;
    switch (entry.phase_)
    {
    case request_phase::claiming:
        end_unanswered(context, entry, reason::claim_log_unavailable);
        return;
    case request_phase::queued:
        record_wait(context.now_, entry);
        end_unanswered(context, entry,
                       deadline_passed ? reason::deadline_passed
                                       : reason::deadline_unreachable);
        return;
    case request_phase::waiting_retry:
        dispatch_or_enqueue(context, entry, true);
        return;
    default:
        on_attempt_timeout(context, entry);
        return;
    }
}

void request_engine::serve_waiting(gateway_context& context)
{
    for (auto& item : queues_)
    {
        request_queue& queue = item.second;
        if (queue.empty())
        {
            continue;
        }
        bool const can_serve =
            registration_->may_dispatch(context.now_, *log_) &&
            workers_->has_available_worker(context.now_, item.first);
        queue.offer(
            [&](request_number number)
            {
                request_entry& entry = requests_.at(number);
                if (!can_serve)
                {
                    reroute(context, entry);
                    return true;
                }
                return dispatch(context, entry);
            });
    }
}

void request_engine::reroute(gateway_context& context, request_entry& entry)
{
    leave_queue(entry);
    clear_timer(entry);
    if (!entry.claim_.empty())
    {
        // The claim is valid for this gateway only; another one would have to
        // claim the key itself.
        end_unanswered(context, entry, reason::no_worker);
        return;
    }
    check_workers(context, entry);
}

void request_engine::count_gateways()
{
    std::uint32_t in_data_centre = 0;
    auto const& registered = log_->fleet().gateways().all();
    for (auto const& item : registered)
    {
        in_data_centre +=
            item.second.data_centre_ == settings_->data_centre_ ? 1U : 0U;
    }
    gateways_in_data_centre_ = settings_->gateways_ != 0
                                   ? settings_->gateways_
                                   : std::max(in_data_centre, 1U);
    gateways_total_ =
        std::max(static_cast<std::uint32_t>(registered.size()), 1U);
}

void request_engine::set_timer(request_entry& entry, time_point at)
{
    clear_timer(entry);
    entry.timer_ = at;
    timers_.emplace(at, entry.number_);
}

void request_engine::clear_timer(request_entry& entry)
{
    if (entry.timer_)
    {
        timers_.erase({*entry.timer_, entry.number_});
        entry.timer_.reset();
    }
}

void request_engine::leave_queue(request_entry& entry)
{
    if (entry.place_)
    {
        queues_[entry.pool_].remove(*entry.place_);
        entry.place_.reset();
    }
}

duration request_engine::expected_run_time(service_name const& service)
{
    auto const& run_time = stats(service).run_time_;
    if (run_time.has_enough_samples())
    {
        return run_time.mean();
    }
    service_spec const* const spec = find_service(service);
    return spec == nullptr ? duration{0} : spec->declared_run_time_;
}

service_spec const*
request_engine::find_service(service_name const& service) const
{
    auto const& config = log_->config().current();
    if (!config)
    {
        return nullptr;
    }
    auto const found = config->services_.find(service);
    return found == config->services_.end() ? nullptr : &found->second;
}

} // namespace cuminfold
