#include "node/cell_owner.hpp"

#include "kernel/cell/outage_retry.hpp"
#include "node/node_clock.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cuminfold
{

namespace
{

/// Interval of the timer that runs `pump()`; events run it as well.
constexpr duration tick = std::chrono::milliseconds{20};
/// Lower bound of the time after which an unanswered append is repeated.
constexpr duration min_append_timeout = std::chrono::milliseconds{150};
/// If the configuration was last confirmed longer ago than this, an unknown
/// queue is answered with `unavailable`: a newer version may have the queue.
/// Submissions, and calls without a job name, are answered likewise.
constexpr duration max_config_age = std::chrono::milliseconds{1500};
/// Bound on the calls that wait for the cell to be loaded.
constexpr std::size_t max_early_calls = 2000;
/// Allowance for network latency, added to the time after which an order has
/// taken effect.
constexpr duration order_latency_margin = std::chrono::milliseconds{200};
/// Part of the drain notice that is left for a start request in flight.
constexpr duration drain_notice_margin = std::chrono::milliseconds{500};
/// Part of a record that is left for its key.
constexpr std::size_t max_key_bytes = 256;
constexpr std::uint64_t bytes_per_mb = 1'000'000;
/// One part in this many of the process's memory is for jobs. The rest is for
/// the records that a new owner reads, batches, connections and the process.
constexpr std::uint64_t job_memory_divisor = 2;
/// Interval of the `owner_load` log lines.
constexpr duration load_log_interval = std::chrono::seconds{1};

cell_options make_options(node_settings const& settings)
{
    cell_options options;
    options.lease_ = std::min(options.lease_, settings.longest_lease_);
    options.longest_lease_ = settings.longest_lease_;
    options.stop_grace_ = settings.stop_grace_ + order_latency_margin;
    options.job_ranking_ = settings.overload_ranking_;
    options.max_record_bytes_ = settings.max_record_bytes_ - max_key_bytes;
    options.max_job_memory_ =
        settings.memory_mb_ * bytes_per_mb / job_memory_divisor;
    // The last block of a batch may exceed the limit of the batch.
    options.max_batch_bytes_ = settings.max_append_bytes_ / 2;
    options.max_entries_age_ = std::max(
        drain_notice_margin, settings.drain_notice_ - drain_notice_margin);
    return options;
}

fleet_plan_options make_fleet_options(node_settings const& settings)
{
    fleet_plan_options options;
    options.order_pause_ = settings.order_pause_ + options.confirmation_limit_ +
                           settings.vm_order_timeout_ + order_latency_margin;
    return options;
}

} // namespace

cell_owner::cell_owner(environment environment, owner_record record,
                       duration store_latency,
                       std::function<void(char const*)> on_lost)
    : environment_(environment), record_(std::move(record)),
      on_lost_(std::move(on_lost)),
      cell_(make_options(environment.settings_), node_now()),
      fleet_(make_fleet_options(environment.settings_), cell_),
      timer_(environment.context_),
      append_timeout_(min_append_timeout, environment.settings_.store_timeout_,
                      store_latency)
{
    environment_.workers_.set_token(record_.epoch_);
    environment_.vm_client_.set_token(record_.epoch_);
}

void cell_owner::start()
{
    confirmed_at_ = node_now();
    cell_.on_epoch_confirmed(confirmed_at_);
    worker_follower::handler handler;
    handler.on_listed_ = [this](worker_registration entry)
    {
        cell_.on_worker_listed(std::move(entry), node_now());
        post_pump();
    };
    handler.on_repeated_ = [this](worker_registration const& entry,
                                  time_point stored_after) {
        cell_.on_entry_repeated(entry.id_, entry.incarnation_start_,
                                stored_after);
    };
    handler.on_unlisted_ = [this](std::string const& worker)
    {
        cell_.on_worker_unlisted(worker, node_now());
        post_pump();
    };
    handler.on_ready_ = [this]
    {
        workers_ready_ = true;
        serve_if_ready();
    };
    follower_ = std::make_unique<worker_follower>(
        environment_.context_, environment_.store_, environment_.log_,
        std::move(handler));
    load();
    arm_timer();
}

void cell_owner::stop()
{
    stopped_ = true;
    timer_.cancel();
    follower_.reset();
    unproven_answers_.clear();
    for (auto& exchange : std::exchange(exchanges_, {}))
    {
        exchange.second(make_refusal(answer_kind::unknown, "owner_stopped"));
    }
    for (auto& early : std::exchange(early_calls_, {}))
    {
        early.done_(make_refusal(answer_kind::unavailable, "owner_stopped"));
    }
}

void cell_owner::resign(std::function<void()> done)
{
    serving_ = false;
    record_.resigned_ = true;
    stop();
    auto call = next_heartbeat_call();
    // A heartbeat with the next sequence number may be in flight or have timed
    // out: under the same number the store would drop this append as a
    // repetition. The epoch alone fences it.
    call.sequence_ = 0;
    environment_.store_.append(
        call, duration{0},
        [done = std::move(done)](platform::append_result const&) { done(); });
}

void cell_owner::serve_if_ready()
{
    if (serving_ || stopped_ || !content_ready_ || !workers_ready_ ||
        environment_.config_.config().version_ == 0)
    {
        return;
    }
    serving_ = true;
    cell_.set_config(environment_.config_.config());
    cell_.finish_restore(node_now());
    fleet_.set_waves(environment_.config_.waves(), node_now());
    environment_.log_.write(
        "owner_serves",
        {{"epoch", std::to_string(record_.epoch_)},
         {"config", std::to_string(environment_.config_.config().version_)}},
        node_now());
    for (auto& early : std::exchange(early_calls_, {}))
    {
        dispatch(std::move(early.call_), std::move(early.done_));
    }
    post_pump();
}

void cell_owner::on_config_changed()
{
    if (serving_)
    {
        cell_.set_config(environment_.config_.config());
        fleet_.set_waves(environment_.config_.waves(), node_now());
        post_pump();
    }
    serve_if_ready();
}

void cell_owner::arm_timer()
{
    timer_.expires_after(tick);
    timer_.async_wait(
        [self = shared_from_this(),
         due = node_now() + tick](boost::system::error_code error)
        {
            if (!error && !self->stopped_)
            {
                self->observe_delay(node_now() - due);
                self->pump();
                self->arm_timer();
            }
        });
}

void cell_owner::observe_delay(duration delay)
{
    cell_.set_event_delay(delay);
    environment_.metrics_.observe("cuminfold_event_delay", delay);
    max_delay_ = std::max(max_delay_, delay);
    if (node_now() >= next_load_log_)
    {
        next_load_log_ = node_now() + load_log_interval;
        environment_.log_.write(
            "owner_load",
            {{"epoch", std::to_string(record_.epoch_)},
             {"longest_delay_ms", in_milliseconds(max_delay_)},
             {"entries_age_ms",
              workers_ready_
                  ? in_milliseconds(node_now() - follower_->current_as_of())
                  : "unread"},
             {"jobs", std::to_string(cell_.jobs().size())}},
            node_now());
        max_delay_ = duration{0};
    }
    // `make_options()` leaves this limit at its default.
    bool const overloaded = delay > cell_options{}.max_event_delay_;
    if (overloaded != overloaded_)
    {
        overloaded_ = overloaded;
        environment_.log_.write(overloaded ? "owner_overloaded"
                                           : "owner_keeps_up",
                                {{"epoch", std::to_string(record_.epoch_)},
                                 {"delay_ms", in_milliseconds(delay)}},
                                node_now());
    }
}

void cell_owner::post_pump()
{
    if (!pump_posted_ && !stopped_)
    {
        pump_posted_ = true;
        boost::asio::post(environment_.context_,
                          [self = shared_from_this()]
                          {
                              self->pump_posted_ = false;
                              if (!self->stopped_)
                              {
                                  self->pump();
                              }
                          });
    }
}

void cell_owner::pump()
{
    auto const now = node_now();
    send_heartbeat();
    confirm_epoch();
    if (!serving_)
    {
        return;
    }
    send_proven_answers();
    cell_.on_entries_read(follower_->current_as_of());
    cell_.tick(now, calendar_now());
    fleet_.tick(now, confirmed_at_);
    append_batch();
    run_actions();
}

void cell_owner::end_ownership(char const* cause)
{
    if (stopped_)
    {
        return;
    }
    environment_.log_.write(
        "ownership_lost",
        {{"epoch", std::to_string(record_.epoch_)}, {"cause", cause}},
        node_now());
    stop();
    on_lost_(cause);
}

client_answer cell_owner::make_refusal(answer_kind kind,
                                       char const* cause) const
{
    client_answer answer;
    answer.kind_ = kind;
    answer.cause_ = cause;
    answer.config_version_ = environment_.config_.config().version_;
    if (kind == answer_kind::unavailable)
    {
        answer.retry_after_ = std::chrono::seconds{1};
        answer.retry_soon_ = true;
    }
    return answer;
}

client_answer cell_owner::refuse_access(access_decision const& access,
                                        time_point now) const
{
    environment_.metrics_.add("cuminfold_key_refusals_total", 1, "cause",
                              access.cause_);
    return access.outcome_ == access_outcome::unproven
               ? refuse_as_stale(access.cause_, now)
               : make_refusal(answer_kind::unauthorized, access.cause_);
}

client_answer cell_owner::refuse_as_stale(char const* cause,
                                          time_point now) const
{
    auto answer = make_refusal(answer_kind::unavailable, cause);
    auto const outage = environment_.config_.store_outage(now);
    if (outage > duration{0})
    {
        // Further attempts would fail as well until the store returns.
        answer.retry_soon_ = false;
        answer.retry_after_ = outage_retry_after(outage);
    }
    return answer;
}

void cell_owner::call(client_call call, std::function<void(client_answer)> done)
{
    if (stopped_ || record_.resigned_)
    {
        done(make_refusal(answer_kind::unavailable, "not_owner"));
        return;
    }
    if (!serving_)
    {
        if (early_calls_.size() >= max_early_calls)
        {
            done(make_refusal(answer_kind::unavailable, "cell_loading"));
            return;
        }
        early_calls_.push_back({std::move(call), std::move(done)});
        return;
    }
    dispatch(std::move(call), std::move(done));
    post_pump();
}

void cell_owner::dispatch(client_call call,
                          std::function<void(client_answer)> done)
{
    auto const now = node_now();
    auto const& config = environment_.config_.config();
    if (config.version_ < call.config_floor_)
    {
        done(make_refusal(answer_kind::unavailable, "config_behind"));
        return;
    }
    bool const config_fresh =
        now - environment_.config_.current_as_of() < max_config_age;
    auto const* const route = config.find(call.host_, call.path_);
    if (route == nullptr)
    {
        done(config_fresh
                 ? make_refusal(answer_kind::no_such_queue, "unknown_queue")
                 : refuse_as_stale("config_stale", now));
        return;
    }
    bool valid = false;
    auto const job = job_id_from_path(call.path_, route->path_prefix_, valid);
    if (!valid)
    {
        done(make_refusal(answer_kind::no_such_queue, "not_a_job"));
        return;
    }
    access_limits limits;
    limits.revocation_limit_ = environment_.settings_.key_revocation_limit_;
    auto const access =
        check_access(config, *route, call.credential_,
                     now - environment_.config_.proven_as_of(), limits);
    if (access.outcome_ != access_outcome::granted)
    {
        done(refuse_access(access, now));
        return;
    }
    if (!config_fresh && (job.empty() || call.verb_ == client_verb::submit))
    {
        done(refuse_as_stale("config_stale", now));
        return;
    }
    auto const exchange = next_exchange_++;
    exchanges_[exchange] = std::move(done);
    switch (call.verb_)
    {
    case client_verb::submit:
        if (job.empty())
        {
            run({exchange,
                 make_refusal(answer_kind::invalid, "job_id_missing")});
            return;
        }
        call.job_.id_ = job;
        call.job_.route_ = route->name_;
        call.job_.pool_ = route->pool_;
        call.job_.workspace_ =
            access.workspace_ != nullptr
                ? std::make_shared<workspace_name const>(*access.workspace_)
                : nullptr;
        cell_.submit(exchange, *route, std::move(call.job_), call.time_left_,
                     now);
        return;
    case client_verb::read:
        if (job.empty())
        {
            cell_.count(exchange, *route);
        }
        else
        {
            cell_.query(exchange, job, {access.workspace_, route->name_});
        }
        return;
    case client_verb::cancel:
        cell_.cancel(exchange, job, now, {access.workspace_, route->name_});
        return;
    case client_verb::other:
        run({exchange, make_refusal(answer_kind::invalid, "method_unknown")});
        return;
    }
}

} // namespace cuminfold
