#include "gateway/caller_duty.hpp"

#include "gateway/caller_api.hpp"

#include <chrono>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Time within which a job's cancellation must be recorded in the log;
/// `parse_caller_job()` sets that of a submission.
constexpr duration job_cancel_deadline = std::chrono::seconds{5};

constexpr char const* id_field = "cuminfold-request-id";

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

http_response make_job_answer(unsigned status, job_entry const* job)
{
    return job == nullptr ? make_response(404, "text/plain", "no such job\n")
                          : describe_job(status, *job);
}

} // namespace

caller_duty::caller_duty(exchange_store& exchanges, metrics& counters,
                         http_server_limits const& limits,
                         incarnation const& self, std::size_t ring_capacity)
    : exchanges_(exchanges), metrics_(counters), self_(self),
      io_(ring_capacity), server_(io_.context(), limits, make_handler())
{
}

http_handler caller_duty::make_handler()
{
    http_handler handler;
    handler.request_ = [this](std::uint64_t exchange, http_request request,
                              http_responder respond)
    { handle(exchange, std::move(request), std::move(respond)); };
    handler.gone_ = [this](std::uint64_t exchange) { on_disconnect(exchange); };
    handler.rejected_ = [this](char const* what)
    { metrics_.add("cuminfold_rejected_total", 1, "what", what); };
    return handler;
}

std::string caller_duty::listen(std::string const& address)
{
    return server_.listen(address);
}

void caller_duty::attach(kernel_loop& kernel, std::size_t ring_capacity)
{
    kernel_ = &kernel;
    input_ = &kernel.add_input(ring_capacity);
    input_->on_room([this]
                    { io_.run_from_outside([this] { input_->flush(); }); });
    io_.on_room([&kernel] { kernel.notify(); });
}

void caller_duty::leave()
{
    io_.run_from_outside([this] { server_.leave(); });
}

void caller_duty::stop(std::function<void()> done)
{
    io_.run_from_outside([this, done = std::move(done)]
                         { server_.stop(done); });
}

void caller_duty::handle(std::uint64_t exchange, http_request request,
                         http_responder respond)
{
    caller_target const target = find_caller_target(request);
    switch (target.resource_)
    {
    case caller_resource::request:
        handle_request(exchange, std::move(request), target.name_,
                       std::move(respond));
        return;
    case caller_resource::submit_job:
        handle_submit_job(exchange, request, target.name_, std::move(respond));
        return;
    case caller_resource::cancel_job:
        handle_cancel_job(exchange, request, target.name_, std::move(respond));
        return;
    case caller_resource::read_job:
        read_job(target.name_, respond);
        return;
    case caller_resource::health:
        respond(make_response(200, "text/plain", "ok\n"));
        return;
    case caller_resource::readiness:
        answer_readiness(respond);
        return;
    case caller_resource::metrics:
        answer_metrics(respond);
        return;
    case caller_resource::none:
        respond(make_response(404, "text/plain", "no such resource\n"));
        return;
    }
}

request_id caller_duty::next_request_id()
{
    return request_id{self_.node_.text() + "-" + std::to_string(self_.number_) +
                      "-" + std::to_string(next_request_++)};
}

void caller_duty::handle_request(std::uint64_t exchange, http_request http,
                                 std::string const& service,
                                 http_responder respond)
{
    auto parsed = parse_caller_request(http, service, next_request_id());
    if (auto const* error = std::get_if<std::string>(&parsed))
    {
        refuse_malformed(http, *error, respond);
        return;
    }
    auto request = std::get<caller_request>(std::move(parsed));
    request_id const id = request.request_;
    request_payload payload;
    payload.key_ = request.key_;
    payload.body_ = std::make_shared<std::string const>(std::move(http.body_));
    bool const room = exchanges_.open(id, std::move(payload));
    waiting_caller caller;
    caller.exchange_ = exchange;
    caller.respond_ = std::move(respond);
    if (room)
    {
        submit_to_kernel(id, http, std::move(caller), std::move(request));
        return;
    }
    caller.echo_ = http.field(id_field);
    caller.since_ = now();
    waiting_[id] = std::move(caller);
    refuse(id, reason::ring_full);
}

void caller_duty::handle_submit_job(std::uint64_t exchange,
                                    http_request const& http,
                                    std::string const& service,
                                    http_responder respond)
{
    auto parsed = parse_caller_job(http, service, next_request_id());
    if (auto const* error = std::get_if<std::string>(&parsed))
    {
        refuse_malformed(http, *error, respond);
        return;
    }
    auto job = std::get<caller_job>(std::move(parsed));
    waiting_caller caller;
    caller.exchange_ = exchange;
    caller.respond_ = std::move(respond);
    request_id const id = job.request_;
    submit_to_kernel(id, http, std::move(caller), std::move(job));
}

void caller_duty::handle_cancel_job(std::uint64_t exchange,
                                    http_request const& http,
                                    std::string const& job,
                                    http_responder respond)
{
    caller_job_cancel cancel;
    cancel.request_ = next_request_id();
    cancel.job_ = job_id{job};
    cancel.deadline_ = job_cancel_deadline;
    waiting_caller caller;
    caller.exchange_ = exchange;
    caller.respond_ = std::move(respond);
    request_id const id = cancel.request_;
    submit_to_kernel(id, http, std::move(caller), std::move(cancel));
}

void caller_duty::refuse_malformed(http_request const& http,
                                   std::string const& what,
                                   http_responder const& respond)
{
    metrics_.count(reason::bad_request);
    http_response response = make_bad_request(what);
    std::string const echo = http.field(id_field);
    if (!echo.empty())
    {
        response.fields_[id_field] = echo;
    }
    respond(std::move(response));
}

void caller_duty::submit_to_kernel(request_id const& id,
                                   http_request const& http,
                                   waiting_caller caller, gateway_event event)
{
    caller.echo_ = http.field(id_field);
    caller.since_ = now();
    by_exchange_[caller.exchange_] = id;
    waiting_[id] = std::move(caller);
    if (!input_->submit(std::move(event)))
    {
        refuse(id, reason::ring_full);
    }
}

/// Refuses a request that was not submitted to the kernel.
void caller_duty::refuse(request_id const& id, reason cause)
{
    metrics_.count(cause);
    request_progress const nothing;
    nothing.conclude(
        [&](not_started_proof proof) {
            answer(id, make_refusal(not_run{proof, cause}));
        },
        [] {});
}

void caller_duty::read_job(std::string const& job,
                           http_responder const& respond)
{
    bool const queued = input_->ask(
        [this, job, respond](gateway_kernel const& kernel)
        {
            http_response response =
                make_job_answer(200, kernel.fleet().jobs().find(job_id{job}));
            io_.put([respond, response] { respond(response); });
        });
    if (!queued)
    {
        metrics_.count(reason::ring_full);
        respond(make_response(503, "text/plain", "overloaded\n"));
    }
}

void caller_duty::answer_readiness(http_responder const& respond)
{
    bool const queued = input_->ask(
        [this, respond](gateway_kernel const& kernel)
        {
            bool const ready = kernel.ready();
            io_.put(
                [respond, ready]
                {
                    respond(make_response(ready ? 200 : 503, "text/plain",
                                          ready ? "ready\n" : "not ready\n"));
                });
        });
    if (!queued)
    {
        metrics_.count(reason::ring_full);
        respond(make_response(503, "text/plain", "overloaded\n"));
    }
}

void caller_duty::answer_metrics(http_responder const& respond)
{
    metrics_.set("cuminfold_waiting_callers",
                 static_cast<double>(waiting_.size()));
    metrics_.set("cuminfold_body_bytes",
                 static_cast<double>(exchanges_.bytes()));
    metrics_.set("cuminfold_kernel_throttled",
                 static_cast<double>(kernel_->throttled()));
    respond(make_response(200, "text/plain; version=0.0.4", metrics_.write()));
}

void caller_duty::on_disconnect(std::uint64_t exchange)
{
    auto const found = by_exchange_.find(exchange);
    if (found != by_exchange_.end())
    {
        // `deliver()` has no limit, but each open connection causes at most one
        // of these events.
        input_->deliver(caller_disconnected{found->second});
    }
}

void caller_duty::answer(request_id const& id, http_response response)
{
    exchanges_.close(id);
    auto const found = waiting_.find(id);
    if (found == waiting_.end())
    {
        return;
    }
    waiting_caller const caller = std::move(found->second);
    waiting_.erase(found);
    by_exchange_.erase(caller.exchange_);
    metrics_.observe(response.status_ == 200 ? "cuminfold_answer"
                                             : "cuminfold_refusal",
                     now() - caller.since_);
    response.fields_[id_field] =
        caller.echo_.empty() ? id.text() : caller.echo_;
    caller.respond_(std::move(response));
}

void caller_duty::act(send_answer const& what)
{
    auto reply = exchanges_.take_reply(what.request_, what.dispatch_);
    if (!reply)
    {
        answer(what.request_,
               make_unknown_outcome(outcome_unknown{reason::worker_lost}));
        return;
    }
    http_response response;
    response.status_ = reply->status_;
    response.fields_["content-type"] = reply->fields_["content-type"];
    response.body_ = std::move(reply->body_);
    answer(what.request_, std::move(response));
}

void caller_duty::act(send_kept_answer& what)
{
    http_response response =
        make_response(what.status_, what.content_type_, std::move(what.body_));
    response.fields_["cuminfold-kept-answer"] = "true";
    answer(what.request_, std::move(response));
}

void caller_duty::act(send_refusal const& what)
{
    answer(what.request_, make_refusal(what.refusal_));
}

void caller_duty::act(send_unknown const& what)
{
    answer(what.request_, make_unknown_outcome(what.outcome_));
}

void caller_duty::answer_job(send_job const& what, fleet_state const& fleet)
{
    http_response response = make_job_answer(202, fleet.jobs().find(what.job_));
    io_.put([this, id = what.request_, response] { answer(id, response); });
}

} // namespace cuminfold
