#include "node/client_frontend.hpp"

#include "kernel/cell/outage_retry.hpp"
#include "node/node_clock.hpp"
#include "node/peer_api.hpp"
#include "platform/body_codec.hpp"
#include "platform/client_format.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cuminfold
{

namespace
{

/// A request without an outcome is answered this long before the client's
/// deadline, so that the answer still arrives in time.
constexpr duration answer_margin = std::chrono::milliseconds{20};
/// How long a request waits for a reachable owner.
constexpr duration max_owner_wait = std::chrono::milliseconds{2000};
/// Without an owner, a request doesn't wait for one if the store has been out
/// of reach for this long: a takeover needs the store.
constexpr duration max_store_outage = std::chrono::milliseconds{1500};
constexpr duration retry_pause = std::chrono::milliseconds{80};
constexpr duration tick = std::chrono::milliseconds{40};
/// Clients keep idle connections open between requests.
constexpr duration client_idle_timeout = std::chrono::seconds{60};
/// Higher than the platform's limit on bodies, which the owner checks against
/// its configuration.
constexpr std::size_t max_body_bytes = 512 * 1024;

http_server_limits client_limits(node_settings const& settings)
{
    http_server_limits limits;
    settings.limit_requests(limits);
    limits.connections_ = settings.max_client_connections_;
    limits.body_bytes_ = max_body_bytes;
    limits.idle_time_ = client_idle_timeout;
    return limits;
}

char const* verb_name(client_verb verb)
{
    switch (verb)
    {
    case client_verb::submit:
        return "submit";
    case client_verb::read:
        return "read";
    case client_verb::cancel:
        return "cancel";
    case client_verb::other:
        return "other";
    }
    return "other";
}

char const* kind_name(answer_kind kind)
{
    switch (kind)
    {
    case answer_kind::accepted:
        return "accepted";
    case answer_kind::status:
        return "standing";
    case answer_kind::pending:
        return "pending";
    case answer_kind::no_such_job:
        return "no_such_job";
    case answer_kind::no_such_queue:
        return "no_such_queue";
    case answer_kind::invalid:
        return "invalid";
    case answer_kind::too_large:
        return "too_large";
    case answer_kind::overloaded:
        return "overloaded";
    case answer_kind::unavailable:
        return "unavailable";
    case answer_kind::unknown:
        return "unknown";
    case answer_kind::unauthorized:
        return "unauthorized";
    case answer_kind::forbidden:
        return "forbidden";
    }
    return "unknown";
}

} // namespace

client_frontend::client_frontend(boost::asio::io_context& context,
                                 http_client& peers, http_client& checks,
                                 std::uint64_t incarnation,
                                 client_frontend_handler handler,
                                 decision_log& log, metrics& counters,
                                 node_settings const& settings,
                                 std::shared_ptr<connection_budget> budget)
    : peers_(peers), checks_(checks), incarnation_(incarnation),
      check_timeout_(settings.peer_timeout_), handler_(std::move(handler)),
      log_(log), metrics_(counters), timer_(context),
      watch_(settings.call_check_delay_),
      server_(context, client_limits(settings),
              {[this](std::uint64_t exchange, http_request request,
                      http_responder respond) {
                   on_request(exchange, std::move(request), std::move(respond));
               },
               [this](std::uint64_t exchange) { open_.erase(exchange); },
               nullptr, [this](char const* cause) { on_rejected(cause); }},
              std::move(budget))
{
}

void client_frontend::on_rejected(char const* cause)
{
    metrics_.add("cuminfold_rejected_total", 1, "cause", cause);
    log_.write("client_refused", {{"cause", cause}}, node_now());
}

std::string client_frontend::listen(std::string const& address)
{
    return server_.listen(address);
}

void client_frontend::begin_shutdown()
{
    server_.leave();
}

void client_frontend::stop(std::function<void()> done)
{
    timer_.cancel();
    server_.stop(std::move(done));
}

void client_frontend::on_request(std::uint64_t exchange, http_request request,
                                 http_responder respond)
{
    auto const now = node_now();
    auto& open = open_[exchange];
    open.respond_ = std::move(respond);
    open.received_at_ = now;
    try
    {
        open.call_ = platform::read_client_call(request);
        open.credential_ = std::exchange(open.call_.credential_, std::nullopt);
    }
    catch (platform::format_error const& error)
    {
        open.call_.path_ = request.path_;
        client_answer answer;
        answer.kind_ = answer_kind::invalid;
        answer.cause_ = error.what();
        finish(exchange, answer);
        return;
    }
    open.deadline_ = now + open.call_.time_left_ - answer_margin;
    open.owner_deadline_ = std::min(open.deadline_, now + max_owner_wait);
    start_attempt(exchange);
    arm_timer();
}

void client_frontend::start_attempt(std::uint64_t exchange)
{
    auto& open = open_.at(exchange);
    auto const now = node_now();
    auto const owner = handler_.locate_owner_();
    if (!owner.reachable_)
    {
        open.waits_for_turn_ = false;
        open.next_attempt_ = now + retry_pause;
        return;
    }
    if (!owner.local_ && !forwards_.try_begin(owner.epoch_))
    {
        if (!open.waits_for_turn_)
        {
            open.waits_for_turn_ = true;
            forwards_.wait(exchange);
            metrics_.add("cuminfold_forwards_delayed_total", 1);
        }
        return;
    }
    open.waits_for_turn_ = false;
    open.in_flight_ = true;
    open.sent_to_epoch_ = owner.epoch_;
    auto const number = ++open.attempt_;
    open.call_.time_left_ =
        std::max<duration>(open.deadline_ - now, std::chrono::milliseconds{1});
    open.call_.config_floor_ =
        std::max(config_floor_, handler_.config_version_());
    if (handler_.has_workspaces_())
    {
        open.call_.credential_ = open.credential_;
    }
    if (owner.local_)
    {
        // Passes a copy: the call may have to be sent to another owner.
        handler_.call_local_(
            open.call_, [this, exchange, number](client_answer answer)
            { on_attempt_ended(exchange, number, answer, true); });
        return;
    }
    forward(exchange, owner, now);
}

void client_frontend::forward(std::uint64_t exchange,
                              owner_location const& owner, time_point now)
{
    auto& open = open_.at(exchange);
    auto const call = ++last_forwarded_;
    open.forwarded_call_ = call;
    auto& forwarded = forwarded_[call];
    forwarded.exchange_ = exchange;
    forwarded.epoch_ = owner.epoch_;
    forwarded.address_ = owner.address_;
    forwarded.sent_at_ = now;
    bool const new_connection = open.lost_calls_ != 0;
    forwarded.peer_call_ = call_peer(
        peers_, owner.address_, open.call_, {incarnation_, call},
        new_connection,
        [this, call, epoch = owner.epoch_, bytes = open.call_.job_.text_.size(),
         lost = open.lost_calls_]
        { watch_.add(call, epoch, bytes, lost, node_now()); },
        [this, exchange, call, number = open.attempt_](
            std::optional<client_answer> const& answer, peer_failure failure)
        {
            remove_forwarded(call);
            on_attempt_ended(exchange, number, answer,
                             failure != peer_failure::not_sent);
            start_waiting();
        });
}

void client_frontend::remove_forwarded(std::uint64_t call)
{
    auto const found = forwarded_.find(call);
    forwards_.ended(found->second.epoch_);
    forwarded_.erase(found);
    watch_.remove(call);
}

void client_frontend::cancel_forwarded(open_request& open)
{
    auto const call = std::exchange(open.forwarded_call_, 0);
    if (call != 0)
    {
        peers_.cancel(forwarded_.at(call).peer_call_);
        remove_forwarded(call);
    }
}

void client_frontend::check_forwarded()
{
    forwarded_calls calls;
    calls.incarnation_ = incarnation_;
    calls.numbers_ = watch_.begin_check(node_now());
    if (calls.numbers_.empty())
    {
        return;
    }
    metrics_.add("cuminfold_call_checks_total", 1);
    check_calls(checks_, forwarded_.at(calls.numbers_.front()).address_, calls,
                check_timeout_,
                [this](check_end end, forwarded_calls const& executing)
                { on_check_ended(end, executing); });
}

void client_frontend::on_check_ended(check_end end,
                                     forwarded_calls const& executing)
{
    if (end == check_end::unanswered)
    {
        watch_.fail_check();
        return;
    }
    if (end == check_end::unsupported)
    {
        watch_.reject_check();
        return;
    }
    for (auto const call : watch_.end_check(executing.numbers_, node_now()))
    {
        repeat_lost_call(call);
    }
    start_waiting();
}

void client_frontend::repeat_lost_call(std::uint64_t call)
{
    auto const lost = forwarded_.at(call);
    auto const now = node_now();
    peers_.abandon(lost.peer_call_);
    remove_forwarded(call);
    auto const found = open_.find(lost.exchange_);
    bool const is_awaited =
        found != open_.end() && found->second.forwarded_call_ == call;
    metrics_.add("cuminfold_calls_lost_total", 1);
    log_.write("call_lost",
               {{"request", is_awaited ? found->second.call_.path_ : ""},
                {"owner", lost.address_},
                {"epoch", std::to_string(lost.epoch_)},
                {"ms", in_milliseconds(now - lost.sent_at_)}},
               now);
    if (!is_awaited)
    {
        return;
    }
    auto& open = found->second;
    open.forwarded_call_ = 0;
    open.in_flight_ = false;
    // The answer may be what was lost.
    open.maybe_stored_ = true;
    ++open.attempt_;
    ++open.lost_calls_;
    start_attempt(lost.exchange_);
}

void client_frontend::start_waiting()
{
    while (auto const exchange = forwards_.next())
    {
        auto const found = open_.find(*exchange);
        if (found != open_.end() && found->second.waits_for_turn_)
        {
            found->second.waits_for_turn_ = false;
            start_attempt(*exchange);
        }
    }
}

void client_frontend::set_forward_limit(std::size_t calls)
{
    forwards_.set_limit(calls);
    start_waiting();
}

void client_frontend::on_attempt_ended(
    std::uint64_t exchange, std::uint64_t attempt,
    std::optional<client_answer> const& answer, bool maybe_stored)
{
    auto const found = open_.find(exchange);
    if (found == open_.end() || found->second.attempt_ != attempt)
    {
        return;
    }
    auto& open = found->second;
    open.in_flight_ = false;
    open.forwarded_call_ = 0;
    open.next_attempt_ = node_now() + retry_pause;
    if (!answer || answer->kind_ == answer_kind::unknown)
    {
        open.maybe_stored_ = open.maybe_stored_ || maybe_stored;
        return;
    }
    if (answer->retry_soon_)
    {
        return;
    }
    bool const not_run = answer->kind_ == answer_kind::overloaded ||
                         answer->kind_ == answer_kind::unavailable;
    if (not_run && open.maybe_stored_)
    {
        // An earlier owner may have stored the job that this one refuses.
        client_answer unknown = *answer;
        unknown.kind_ = answer_kind::unknown;
        finish(exchange, unknown);
        return;
    }
    finish(exchange, *answer);
}

void client_frontend::finish(std::uint64_t exchange,
                             client_answer const& answer)
{
    auto const found = open_.find(exchange);
    auto const open = std::move(found->second);
    open_.erase(found);
    config_floor_ = std::max(config_floor_, answer.config_version_);
    auto const now = node_now();
    metrics_.observe(std::string("cuminfold_request_") +
                         verb_name(open.call_.verb_),
                     now - open.received_at_);
    metrics_.add("cuminfold_answers_total", 1, "kind", kind_name(answer.kind_));
    // Successful reads decide nothing; they are counted but not logged.
    bool const is_decision = open.call_.verb_ != client_verb::read ||
                             (answer.kind_ != answer_kind::status &&
                              answer.kind_ != answer_kind::pending);
    if (is_decision)
    {
        log_.write("request_answered",
                   {{"request", open.call_.path_},
                    {"verb", verb_name(open.call_.verb_)},
                    {"outcome", kind_name(answer.kind_)},
                    {"cause", answer.cause_},
                    {"config", std::to_string(answer.config_version_)},
                    {"epoch", std::to_string(open.sent_to_epoch_)},
                    {"attempts", std::to_string(open.attempt_)},
                    {"ms", in_milliseconds(now - open.received_at_)}},
                   now);
    }
    open.respond_(platform::write_client_answer(answer));
}

void client_frontend::abort_request(std::uint64_t exchange, char const* cause)
{
    auto& open = open_.at(exchange);
    cancel_forwarded(open);
    ++open.attempt_;
    client_answer answer;
    bool const maybe_stored = open.maybe_stored_ || open.in_flight_;
    answer.kind_ =
        maybe_stored ? answer_kind::unknown : answer_kind::unavailable;
    answer.cause_ = cause;
    answer.retry_after_ = outage_retry_after(handler_.store_outage_());
    finish(exchange, answer);
}

void client_frontend::abort_all(char const* cause)
{
    while (!open_.empty())
    {
        abort_request(open_.begin()->first, cause);
    }
}

void client_frontend::on_owner_changed()
{
    auto const owner = handler_.locate_owner_();
    std::vector<std::uint64_t> unsent;
    for (auto& item : open_)
    {
        auto& open = item.second;
        if (open.in_flight_ && open.sent_to_epoch_ != owner.epoch_)
        {
            open.maybe_stored_ = true;
            cancel_forwarded(open);
            open.in_flight_ = false;
            ++open.attempt_;
        }
        if (!open.in_flight_)
        {
            unsent.push_back(item.first);
        }
    }
    for (auto const exchange : unsent)
    {
        if (open_.count(exchange) != 0)
        {
            start_attempt(exchange);
        }
    }
}

bool client_frontend::is_without_owner() const
{
    return handler_.store_outage_() > max_store_outage &&
           !handler_.locate_owner_().reachable_;
}

void client_frontend::arm_timer()
{
    if (timer_armed_)
    {
        return;
    }
    timer_armed_ = true;
    timer_.expires_after(tick);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            timer_armed_ = false;
            if (!error)
            {
                on_timer();
            }
        });
}

void client_frontend::on_timer()
{
    auto const now = node_now();
    std::vector<std::uint64_t> due;
    for (auto const& item : open_)
    {
        auto const& open = item.second;
        if (now >= open.deadline_ || !open.in_flight_)
        {
            due.push_back(item.first);
        }
    }
    bool const reachable = handler_.locate_owner_().reachable_;
    for (auto const exchange : due)
    {
        auto const found = open_.find(exchange);
        if (found == open_.end())
        {
            continue;
        }
        auto const& open = found->second;
        if (now >= open.deadline_)
        {
            abort_request(exchange, "deadline_passed");
        }
        else if (!open.in_flight_ && is_without_owner())
        {
            abort_request(exchange, "no_owner_store_lost");
        }
        else if (open.waits_for_turn_ && reachable)
        {
            // The owner is in reach; the request waits until its deadline.
            continue;
        }
        else if (!open.in_flight_ && now >= open.owner_deadline_)
        {
            abort_request(exchange, "no_owner");
        }
        else if (!open.in_flight_ && now >= open.next_attempt_)
        {
            start_attempt(exchange);
        }
    }
    start_waiting();
    check_forwarded();
    if (!open_.empty() || !forwarded_.empty())
    {
        arm_timer();
    }
}

} // namespace cuminfold
