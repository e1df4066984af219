#include "node/cell_owner.hpp"

#include "node/node_clock.hpp"
#include "wire/cell_codec.hpp"
#include "wire/decode_error.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cuminfold
{

namespace
{

using platform::append_outcome;
using platform::store_topic;

constexpr duration tick = std::chrono::milliseconds{20};
/// An append is repeated no sooner than this.
constexpr duration least_append_time = std::chrono::milliseconds{150};
constexpr duration load_retry = std::chrono::milliseconds{150};
constexpr duration first_batch_pause = std::chrono::milliseconds{10};
constexpr duration longest_batch_pause = std::chrono::milliseconds{400};
/// An idle owner confirms its epoch this often.
constexpr duration confirm_interval = std::chrono::milliseconds{500};
constexpr duration beat_interval = std::chrono::milliseconds{300};
/// Older knowledge of the configuration does not answer that a queue is not
/// there.
constexpr duration config_age_limit = std::chrono::milliseconds{1500};
/// Calls that wait for the cell to be loaded.
constexpr std::size_t early_call_limit = 2000;

/// Added to the pause between two owners' orders for one VM, for orders that
/// were on their way.
constexpr duration order_margin = std::chrono::milliseconds{200};

/// Keys in the cell's partition.
constexpr char const* job_prefix = "j";
constexpr char const* progress_prefix = "p";
constexpr char const* vm_order_prefix = "v";
constexpr char const* wave_prefix = "w";
constexpr char const* owner_key = "owner";

char const* key_prefix(record_kind kind)
{
    switch (kind)
    {
    case record_kind::request:
        return job_prefix;
    case record_kind::progress:
        return progress_prefix;
    case record_kind::vm_order:
        return vm_order_prefix;
    case record_kind::wave:
        return wave_prefix;
    }
    return progress_prefix;
}

cell_options make_options(node_settings const& settings)
{
    cell_options options;
    options.lease_ = std::min(options.lease_, settings.longest_lease_);
    options.longest_lease_ = options.lease_;
    return options;
}

fleet_plan_options make_fleet_options(node_settings const& settings)
{
    fleet_plan_options options;
    options.order_pause_ = settings.order_pause_ + options.confirmation_limit_ +
                           settings.vm_order_timeout_ + order_margin;
    return options;
}

} // namespace

cell_owner::cell_owner(parts parts, owner_record record,
                       std::function<void(char const*)> lost)
    : parts_(parts), record_(std::move(record)), lost_(std::move(lost)),
      cell_(make_options(parts.settings_), node_now()),
      fleet_(make_fleet_options(parts.settings_), cell_),
      timer_(parts.context_),
      append_clock_(least_append_time, parts.settings_.store_timeout_)
{
    parts_.workers_.set_token(record_.epoch_);
    parts_.machines_.set_token(record_.epoch_);
}

void cell_owner::start()
{
    confirmed_ = node_now();
    cell_.confirmed(confirmed_);
    worker_follower::handler handler;
    handler.listed_ = [this](worker_registration entry)
    {
        cell_.worker_listed(std::move(entry), node_now());
        pump_soon();
    };
    handler.unlisted_ = [this](std::string const& worker)
    {
        cell_.worker_unlisted(worker, node_now());
        pump_soon();
    };
    handler.ready_ = [this]
    {
        workers_ready_ = true;
        begin_if_ready();
    };
    follower_ = std::make_unique<worker_follower>(
        parts_.context_, parts_.store_, parts_.log_, std::move(handler));
    load();
    arm_timer();
}

void cell_owner::stop()
{
    stopped_ = true;
    timer_.cancel();
    follower_.reset();
    for (auto& exchange : std::exchange(exchanges_, {}))
    {
        exchange.second(refuse(answer_kind::unknown, "owner_stopped"));
    }
    for (auto& early : std::exchange(early_calls_, {}))
    {
        early.done_(refuse(answer_kind::unavailable, "owner_stopped"));
    }
}

void cell_owner::resign(std::function<void()> done)
{
    serving_ = false;
    record_.resigned_ = true;
    platform::append_call call;
    call.topic_ = store_topic::owner;
    call.epoch_ = record_.epoch_;
    call.sequence_ = ++beat_sequence_;
    ++record_.beat_;
    call.records_.push_back({owner_key, encode_owner(record_)});
    stop();
    parts_.store_.append(
        call, duration{0},
        [done = std::move(done)](platform::append_result const&) { done(); });
}

void cell_owner::load()
{
    parts_.store_.read_newest(
        store_topic::cell,
        [self = shared_from_this()](
            std::optional<platform::topic_content> const& content)
        {
            if (self->stopped_)
            {
                return;
            }
            if (content)
            {
                self->take_content(*content);
                return;
            }
            auto const timer = std::make_shared<boost::asio::steady_timer>(
                self->parts_.context_, load_retry);
            timer->async_wait(
                [self, timer](boost::system::error_code error)
                {
                    if (!error && !self->stopped_)
                    {
                        self->load();
                    }
                });
        });
}

void cell_owner::take_content(platform::topic_content const& content)
{
    auto const now = node_now();
    std::map<std::string, std::string> progress;
    std::size_t jobs = 0;
    for (auto const& record : content.records_)
    {
        auto const id = record.key_.substr(1);
        if (!record.value_ || record.value_->empty())
        {
            continue;
        }
        try
        {
            if (record.key_.rfind(job_prefix, 0) == 0)
            {
                cell_.restore(decode_job(*record.value_), now);
                ++jobs;
            }
            else if (record.key_.rfind(progress_prefix, 0) == 0)
            {
                progress[id] = *record.value_;
            }
            else if (record.key_.rfind(vm_order_prefix, 0) == 0)
            {
                fleet_.restore_order(vm_id{id}, now);
            }
            else if (record.key_.rfind(wave_prefix, 0) == 0)
            {
                fleet_.restore_wave(std::stoll(id), *record.value_);
            }
        }
        catch (std::exception const& error)
        {
            parts_.log_.write("record_skipped",
                              {{"key", record.key_}, {"error", error.what()}},
                              now);
        }
    }
    for (auto const& item : progress)
    {
        try
        {
            cell_.restore(job_id{item.first}, decode_progress(item.second),
                          now);
        }
        catch (decode_error const& error)
        {
            parts_.log_.write("record_skipped",
                              {{"key", item.first}, {"error", error.what()}},
                              now);
        }
    }
    parts_.log_.write("cell_loaded",
                      {{"epoch", std::to_string(record_.epoch_)},
                       {"open_jobs", std::to_string(jobs)},
                       {"records", std::to_string(content.records_.size())}},
                      now);
    content_ready_ = true;
    follower_->start();
    begin_if_ready();
}

void cell_owner::begin_if_ready()
{
    if (serving_ || stopped_ || !content_ready_ || !workers_ready_ ||
        parts_.config_.config().version_ == 0)
    {
        return;
    }
    serving_ = true;
    cell_.set_config(parts_.config_.config());
    cell_.restored(node_now());
    fleet_.set_waves(parts_.config_.waves(), node_now());
    parts_.log_.write(
        "owner_serves",
        {{"epoch", std::to_string(record_.epoch_)},
         {"config", std::to_string(parts_.config_.config().version_)}},
        node_now());
    for (auto& early : std::exchange(early_calls_, {}))
    {
        dispatch(std::move(early.call_), std::move(early.done_));
    }
    pump_soon();
}

void cell_owner::config_changed()
{
    if (serving_)
    {
        cell_.set_config(parts_.config_.config());
        fleet_.set_waves(parts_.config_.waves(), node_now());
        pump_soon();
    }
    begin_if_ready();
}

void cell_owner::arm_timer()
{
    timer_.expires_after(tick);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->stopped_)
            {
                self->pump();
                self->arm_timer();
            }
        });
}

void cell_owner::pump_soon()
{
    if (!pump_posted_ && !stopped_)
    {
        pump_posted_ = true;
        boost::asio::post(parts_.context_,
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
    beat();
    confirm();
    if (!serving_)
    {
        return;
    }
    cell_.tick(now, calendar_now());
    fleet_.tick(now, confirmed_);
    append_batch();
    run_actions();
}

void cell_owner::append_batch()
{
    if (batch_out_)
    {
        return;
    }
    auto const batch = cell_.next_batch(node_now());
    if (!batch)
    {
        return;
    }
    batch_ = {};
    batch_.topic_ = store_topic::cell;
    batch_.epoch_ = record_.epoch_;
    batch_.sequence_ = ++sequence_;
    for (auto const& record : batch->records_)
    {
        platform::keyed_record out;
        out.key_ = key_prefix(record.kind_) + record.name_;
        if (record.request_)
        {
            out.value_ = encode_job(*record.request_);
        }
        else if (record.progress_)
        {
            out.value_ = encode_progress(*record.progress_);
        }
        else if (record.text_)
        {
            out.value_ = *record.text_;
        }
        batch_.records_.push_back(std::move(out));
    }
    batch_out_ = true;
    batch_pause_ = first_batch_pause;
    send_batch();
}

void cell_owner::send_batch()
{
    auto const sent = node_now();
    parts_.store_.append(
        batch_, append_clock_.timeout(),
        [self = shared_from_this(), sent](platform::append_result const& result)
        {
            if (!self->stopped_)
            {
                self->on_batch(result, sent);
            }
        });
}

void cell_owner::on_batch(platform::append_result const& result,
                          time_point sent)
{
    auto const now = node_now();
    parts_.metrics_.observe("cuminfold_append", now - sent);
    if (result.outcome_ == append_outcome::unanswered)
    {
        append_clock_.unanswered();
    }
    if (result.outcome_ == append_outcome::stored)
    {
        append_clock_.answered(now - sent);
        batch_out_ = false;
        confirmed_ = sent;
        cell_.confirmed(sent);
        next_confirm_ = now + confirm_interval;
        cell_.batch_stored(now);
        pump();
        return;
    }
    check_fenced(result);
    if (stopped_)
    {
        return;
    }
    parts_.log_.write("append_repeated",
                      {{"sequence", std::to_string(batch_.sequence_)},
                       {"cause", result.detail_}},
                      now);
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        parts_.context_, batch_pause_);
    batch_pause_ = std::min(batch_pause_ * 2, longest_batch_pause);
    timer->async_wait(
        [self = shared_from_this(), timer](boost::system::error_code error)
        {
            if (!error && !self->stopped_)
            {
                self->send_batch();
            }
        });
}

void cell_owner::check_fenced(platform::append_result const& result)
{
    if (result.outcome_ == append_outcome::fenced)
    {
        lose("fenced");
    }
    else if (result.outcome_ == append_outcome::out_of_sequence)
    {
        lose("out_of_sequence");
    }
}

void cell_owner::lose(char const* why)
{
    if (stopped_)
    {
        return;
    }
    parts_.log_.write(
        "ownership_lost",
        {{"epoch", std::to_string(record_.epoch_)}, {"cause", why}},
        node_now());
    stop();
    lost_(why);
}

void cell_owner::confirm()
{
    auto const now = node_now();
    if (confirm_out_ || batch_out_ || now < next_confirm_)
    {
        return;
    }
    confirm_out_ = true;
    platform::append_call call;
    call.topic_ = store_topic::cell;
    call.epoch_ = record_.epoch_;
    parts_.store_.append(
        call, append_clock_.timeout(),
        [self = shared_from_this(), now](platform::append_result const& result)
        {
            self->confirm_out_ = false;
            if (self->stopped_)
            {
                return;
            }
            self->next_confirm_ = node_now() + confirm_interval / 2;
            if (result.outcome_ == append_outcome::unanswered)
            {
                self->append_clock_.unanswered();
                self->next_confirm_ = node_now();
            }
            if (result.outcome_ == append_outcome::stored)
            {
                self->append_clock_.answered(node_now() - now);
                self->next_confirm_ = node_now() + confirm_interval;
                self->confirmed_ = now;
                self->cell_.confirmed(now);
            }
            self->check_fenced(result);
        });
}

void cell_owner::beat()
{
    auto const now = node_now();
    if (beat_out_ || now < next_beat_)
    {
        return;
    }
    beat_out_ = true;
    next_beat_ = now + beat_interval;
    platform::append_call call;
    call.topic_ = store_topic::owner;
    call.epoch_ = record_.epoch_;
    call.sequence_ = beat_sequence_ + 1;
    owner_record record = record_;
    ++record.beat_;
    call.records_.push_back({owner_key, encode_owner(record)});
    parts_.store_.append(
        call, append_clock_.timeout(),
        [self = shared_from_this()](platform::append_result const& result)
        {
            self->beat_out_ = false;
            if (self->stopped_)
            {
                return;
            }
            if (result.outcome_ == append_outcome::stored)
            {
                ++self->beat_sequence_;
                ++self->record_.beat_;
            }
            self->check_fenced(result);
        });
}

client_answer cell_owner::refuse(answer_kind kind, char const* why) const
{
    client_answer answer;
    answer.kind_ = kind;
    answer.why_ = why;
    answer.config_version_ = parts_.config_.config().version_;
    if (kind == answer_kind::unavailable)
    {
        answer.retry_after_ = std::chrono::seconds{1};
        answer.ask_again_ = true;
    }
    return answer;
}

void cell_owner::call(client_call call, std::function<void(client_answer)> done)
{
    if (stopped_ || record_.resigned_)
    {
        done(refuse(answer_kind::unavailable, "not_owner"));
        return;
    }
    if (!serving_)
    {
        if (early_calls_.size() >= early_call_limit)
        {
            done(refuse(answer_kind::unavailable, "cell_loading"));
            return;
        }
        early_calls_.push_back({std::move(call), std::move(done)});
        return;
    }
    dispatch(std::move(call), std::move(done));
    pump_soon();
}

void cell_owner::dispatch(client_call call,
                          std::function<void(client_answer)> done)
{
    auto const now = node_now();
    auto const& config = parts_.config_.config();
    if (config.version_ < call.config_floor_)
    {
        done(refuse(answer_kind::unavailable, "config_behind"));
        return;
    }
    bool const sure = now - parts_.config_.known_at() < config_age_limit;
    auto const* const route = config.find(call.host_, call.path_);
    if (route == nullptr)
    {
        done(
            refuse(sure ? answer_kind::no_such_queue : answer_kind::unavailable,
                   sure ? "unknown_queue" : "config_stale"));
        return;
    }
    bool valid = false;
    auto const job = job_of_path(call.path_, route->path_prefix_, valid);
    if (!valid)
    {
        done(refuse(answer_kind::no_such_queue, "not_a_job"));
        return;
    }
    if (!sure && (job.empty() || call.verb_ == client_verb::submit))
    {
        done(refuse(answer_kind::unavailable, "config_stale"));
        return;
    }
    auto const exchange = next_exchange_++;
    exchanges_[exchange] = std::move(done);
    switch (call.verb_)
    {
    case client_verb::submit:
        if (job.empty())
        {
            run({exchange, refuse(answer_kind::invalid, "job_id_missing")});
            return;
        }
        call.job_.id_ = job;
        call.job_.route_ = route->name_;
        call.job_.pool_ = route->pool_;
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
            cell_.query(exchange, job);
        }
        return;
    case client_verb::cancel:
        cell_.cancel(exchange, job, now);
        return;
    case client_verb::other:
        run({exchange, refuse(answer_kind::invalid, "method_unknown")});
        return;
    }
}

void cell_owner::run_actions()
{
    for (auto const& action : cell_.take_actions())
    {
        std::visit([this](auto const& each) { run(each); }, action);
    }
    for (auto const& action : fleet_.take_actions())
    {
        std::visit([this](auto const& each) { run(each); }, action);
    }
}

/// Looked at once more right before an order: the process may have been
/// suspended since the order was decided.
bool cell_owner::may_order_vms() const
{
    return node_now() - confirmed_ < fleet_plan_options{}.confirmation_limit_;
}

void cell_owner::run(list_vms const&)
{
    auto const asked = node_now();
    parts_.machines_.list(
        [self = shared_from_this(),
         asked](std::optional<std::vector<listed_vm>> vms)
        {
            if (self->stopped_)
            {
                return;
            }
            vms ? self->fleet_.listed(std::move(*vms), asked, node_now())
                : self->fleet_.list_failed(node_now());
            self->pump_soon();
        });
}

void cell_owner::run(maintain_vm const& action)
{
    if (!may_order_vms())
    {
        fleet_.maintained(action.vm_, action.wave_, vm_outcome::later,
                          node_now());
        return;
    }
    parts_.machines_.maintain(
        action.vm_, action.wave_,
        [self = shared_from_this(), action](vm_outcome outcome)
        {
            if (!self->stopped_)
            {
                self->fleet_.maintained(action.vm_, action.wave_, outcome,
                                        node_now());
                self->pump_soon();
            }
        });
}

void cell_owner::run(move_vm const& action)
{
    if (!may_order_vms())
    {
        fleet_.moved(action.vm_, vm_outcome::later, node_now());
        return;
    }
    parts_.machines_.move(
        action.vm_, action.pool_,
        [self = shared_from_this(), action](vm_outcome outcome)
        {
            if (!self->stopped_)
            {
                self->fleet_.moved(action.vm_, outcome, node_now());
                self->pump_soon();
            }
        });
}

void cell_owner::run(report_wave const& action)
{
    parts_.store_.write_wave_status(
        action.wave_, action.completed_,
        [self = shared_from_this(),
         action](platform::append_result const& result)
        {
            if (!self->stopped_)
            {
                self->fleet_.reported(action.wave_, result.outcome_ ==
                                                        append_outcome::stored);
            }
        });
}

void cell_owner::run(answer_client const& action)
{
    auto const found = exchanges_.find(action.exchange_);
    if (found != exchanges_.end())
    {
        auto const done = std::move(found->second);
        exchanges_.erase(found);
        auto answer = action.answer_;
        // What an owner without a fresh epoch does not know may be known to
        // the next one.
        bool const stale = node_now() - confirmed_ > config_age_limit;
        if (stale && answer.kind_ == answer_kind::no_such_job)
        {
            answer = refuse(answer_kind::unavailable, "epoch_unconfirmed");
        }
        done(std::move(answer));
    }
}

void cell_owner::run(start_run const& action)
{
    auto const sent = node_now();
    parts_.workers_.start(
        action,
        [self = shared_from_this(), worker = action.worker_,
         task = action.task_, run = action.run_, sent](call_outcome outcome)
        {
            if (!self->stopped_)
            {
                auto const now = node_now();
                self->parts_.metrics_.observe("cuminfold_start_call",
                                              now - sent);
                self->cell_.start_answered(worker, task, run, outcome, now);
                self->pump_soon();
            }
        });
}

void cell_owner::run(stop_run const& action)
{
    parts_.log_.write("run_stopped",
                      {{"task", describe(action.task_)},
                       {"run", std::to_string(action.run_)},
                       {"worker", action.worker_},
                       {"cause", action.why_}},
                      node_now());
    parts_.workers_.stop(action,
                         [self = shared_from_this(), worker = action.worker_,
                          task = action.task_,
                          run = action.run_](call_outcome outcome)
                         {
                             if (!self->stopped_)
                             {
                                 self->cell_.stop_answered(worker, task, run,
                                                           outcome, node_now());
                                 self->pump_soon();
                             }
                         });
}

void cell_owner::run(renew_worker const& action)
{
    parts_.workers_.renew(
        action,
        [self = shared_from_this(), worker = action.worker_,
         extra = action.extra_,
         sent = node_now()](call_outcome outcome, worker_report const& report)
        {
            if (!self->stopped_)
            {
                self->cell_.renewal_answered(worker, extra, outcome, report,
                                             sent, node_now());
                self->pump_soon();
            }
        });
}

void cell_owner::run(pace_run const& action)
{
    parts_.workers_.pace(action, [](call_outcome) {});
}

void cell_owner::run(note_decision const& action)
{
    parts_.log_.write(action.event_,
                      {{"subject", action.subject_}, {"cause", action.why_}},
                      node_now());
}

} // namespace cuminfold
