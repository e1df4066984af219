#include "node/peer_api.hpp"

#include "node/node_records.hpp"
#include "transport/logger.hpp"
#include "wire/cell_codec.hpp"
#include "wire/decode_error.hpp"

#include <charconv>
#include <system_error>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr char const* ping_path = "/v1/peer/ping";
constexpr char const* call_path = "/v1/peer/call";
constexpr char const* check_path = "/v1/peer/calls";
constexpr char const* metrics_path = "/metrics";
/// Field of a call: the caller's incarnation and the call's number there.
/// Earlier programs neither send nor read it.
constexpr char const* call_id_field = "cuminfold-call";
constexpr char const* cbor_type = "application/cbor";
/// Peers keep idle connections open between requests.
constexpr duration peer_idle_timeout = std::chrono::minutes{5};

http_server_limits peer_limits(node_settings const& settings)
{
    http_server_limits limits;
    settings.limit_requests(limits);
    limits.idle_time_ = peer_idle_timeout;
    limits.connections_ = settings.max_peer_connections_;
    return limits;
}

std::string write_call_id(forwarded_call_id const& id)
{
    return std::to_string(id.incarnation_) + "/" + std::to_string(id.number_);
}

std::optional<forwarded_call_id> read_call_id(std::string const& text)
{
    forwarded_call_id id;
    char const* const end = text.data() + text.size();
    auto const incarnation = std::from_chars(text.data(), end, id.incarnation_);
    if (incarnation.ec != std::errc{} || incarnation.ptr == end ||
        *incarnation.ptr != '/')
    {
        return std::nullopt;
    }
    auto const number = std::from_chars(incarnation.ptr + 1, end, id.number_);
    return number.ec == std::errc{} && number.ptr == end
               ? std::make_optional(id)
               : std::nullopt;
}

/// A peer's request; none, after a log line and a rejection, if it cannot be
/// decoded.
template <class Request>
std::optional<Request>
read_request(std::string const& body, Request (*read)(std::string const&),
             char const* log_event, http_responder const& respond)
{
    try
    {
        return read(body);
    }
    catch (decode_error const& error)
    {
        write_log(log_level::warning, log_event, {{"error", error.what()}});
        respond(make_response(400, "text/plain", error.what()));
        return std::nullopt;
    }
}

/// A peer's answer; none if there was none or it cannot be decoded.
template <class Answer>
std::optional<Answer> read_answer(http_result const& result,
                                  Answer (*read)(std::string const&))
{
    bool const whole =
        result.end_ == http_end::whole && result.response_.status_ == 200;
    return whole ? try_decode(result.response_.body_, read,
                              "peer_answer_unreadable")
                 : std::nullopt;
}

/// Whether the peer's server has rejected a call before it was executed, such
/// as for want of memory.
bool is_not_run(http_result const& result)
{
    auto const& fields = result.response_.fields_;
    auto const outcome = fields.find("cuminfold-outcome");
    return result.end_ == http_end::whole && result.response_.status_ == 503 &&
           outcome != fields.end() && outcome->second == "not-run";
}

} // namespace

peer_api::peer_api(boost::asio::io_context& context, peer_handler handler,
                   node_settings const& settings,
                   std::shared_ptr<connection_budget> budget)
    : handler_(std::move(handler)),
      server_(context, peer_limits(settings),
              {[this](std::uint64_t exchange, http_request request,
                      http_responder respond)
               { serve(exchange, std::move(request), respond); },
               [this](std::uint64_t exchange) { executing_->end(exchange); },
               nullptr,
               [this](char const* cause) { handler_.on_rejected_(cause); }},
              std::move(budget))
{
}

std::string peer_api::listen(std::string const& address)
{
    return server_.listen(address);
}

void peer_api::stop(std::function<void()> done)
{
    server_.stop(std::move(done));
}

void peer_api::serve(std::uint64_t exchange, http_request request,
                     http_responder const& respond)
{
    if (request.path_ == ping_path)
    {
        respond(
            make_response(200, cbor_type, encode_ping(handler_.on_ping_())));
    }
    else if (request.path_ == metrics_path)
    {
        respond(make_response(200, "text/plain", handler_.on_metrics_()));
    }
    else if (request.path_ == call_path)
    {
        serve_call(exchange, request, respond);
    }
    else if (request.path_ == check_path)
    {
        serve_check(request, respond);
    }
    else
    {
        respond(make_response(404, "text/plain", "no such path"));
    }
}

void peer_api::serve_call(std::uint64_t exchange, http_request const& request,
                          http_responder const& respond)
{
    auto call = read_request(request.body_, decode_call, "peer_call_unreadable",
                             respond);
    if (!call)
    {
        return;
    }
    auto const id = read_call_id(request.field(call_id_field));
    if (id)
    {
        executing_->begin(exchange, *id);
    }
    handler_.on_call_(
        std::move(*call),
        [respond, exchange, executing = executing_](client_answer const& answer)
        {
            executing->end(exchange);
            respond(make_response(200, cbor_type, encode_answer(answer)));
        });
}

void peer_api::serve_check(http_request const& request,
                           http_responder const& respond) const
{
    auto const calls = read_request(request.body_, decode_forwarded_calls,
                                    "peer_check_unreadable", respond);
    if (!calls)
    {
        return;
    }
    forwarded_calls executing;
    executing.incarnation_ = calls->incarnation_;
    for (auto const number : calls->numbers_)
    {
        if (executing_->contains({calls->incarnation_, number}))
        {
            executing.numbers_.push_back(number);
        }
    }
    respond(make_response(200, cbor_type, encode_forwarded_calls(executing)));
}

void ping_peer(http_client& http, std::string const& address, duration timeout,
               std::function<void(std::optional<peer_ping>)> done)
{
    http_call call;
    call.address_ = address;
    call.target_ = ping_path;
    call.timeout_ = timeout;
    http.start(std::move(call),
               [done = std::move(done)](http_result const& result)
               { done(read_answer(result, decode_ping)); });
}

std::uint64_t
call_peer(http_client& http, std::string const& address,
          client_call const& call, forwarded_call_id const& id,
          bool new_connection, std::function<void()> on_written,
          std::function<void(std::optional<client_answer>, peer_failure)> done)
{
    http_call request;
    request.address_ = address;
    request.target_ = call_path;
    request.fields_[call_id_field] = write_call_id(id);
    request.body_ = encode_call(call);
    request.timeout_ = call.time_left_;
    request.new_connection_ = new_connection;
    request.on_written_ = std::move(on_written);
    return http.start(std::move(request),
                      [done = std::move(done)](http_result const& result)
                      {
                          done(read_answer(result, decode_answer),
                               result.end_ == http_end::not_sent ||
                                       is_not_run(result)
                                   ? peer_failure::not_sent
                                   : peer_failure::no_answer);
                      });
}

void check_calls(http_client& http, std::string const& address,
                 forwarded_calls const& calls, duration timeout,
                 std::function<void(check_end, forwarded_calls const&)> done)
{
    http_call request;
    request.address_ = address;
    request.target_ = check_path;
    request.body_ = encode_forwarded_calls(calls);
    request.timeout_ = timeout;
    request.new_connection_ = true;
    http.start(std::move(request),
               [done = std::move(done)](http_result const& result)
               {
                   constexpr unsigned not_found = 404;
                   auto const executing =
                       read_answer(result, decode_forwarded_calls);
                   bool const is_unsupported =
                       result.end_ == http_end::whole &&
                       result.response_.status_ == not_found;
                   done(executing        ? check_end::answered
                        : is_unsupported ? check_end::unsupported
                                         : check_end::unanswered,
                        executing.value_or(forwarded_calls{}));
               });
}

} // namespace cuminfold
