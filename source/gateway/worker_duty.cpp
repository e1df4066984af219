#include "gateway/worker_duty.hpp"

#include "gateway/dispatch_reply.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr std::size_t max_short_body_bytes = 4096;

/// Makes a call whose reply must echo the request id.
http_call make_call(std::string const& address, std::string target,
                    request_id const& request, request_payload const& payload,
                    duration deadline)
{
    http_call call;
    call.address_ = address;
    call.target_ = std::move(target);
    call.echo_field_ = "cuminfold-request-id";
    call.fields_["cuminfold-request-id"] = request.text();
    call.fields_["cuminfold-deadline"] = in_milliseconds(deadline);
    if (!payload.key_.empty())
    {
        call.fields_["idempotency-key"] = payload.key_;
    }
    call.body_ = *payload.body_;
    call.timeout_ = deadline;
    return call;
}

} // namespace

worker_duty::worker_duty(exchange_store& exchanges, http_client_limits limits,
                         std::size_t ring_capacity)
    : exchanges_(exchanges), io_(ring_capacity), client_(io_.context(), limits)
{
}

void worker_duty::attach(kernel_loop& kernel, std::size_t ring_capacity)
{
    input_ = &kernel.add_input(ring_capacity, input_kind::results);
    input_->on_room([this]
                    { io_.run_from_outside([this] { input_->flush(); }); });
    io_.on_room([&kernel] { kernel.notify(); });
}

void worker_duty::act(dispatch_to_worker const& what)
{
    auto const payload = exchanges_.find(what.request_);
    if (!payload)
    {
        report_not_sent(what.dispatch_);
        return;
    }
    open_dispatch open;
    open.request_ = what.request_;
    start(what.dispatch_, std::move(open),
          make_call(what.address_, "/v1/run/" + what.service_.text(),
                    what.request_, *payload, what.deadline_));
}

void worker_duty::act(forward_to_gateway const& what)
{
    auto const payload = exchanges_.find(what.request_);
    if (!payload)
    {
        report_not_sent(what.dispatch_);
        return;
    }
    http_call call = make_call(
        what.address_, "/v1/services/" + what.service_.text() + "/requests",
        what.request_, *payload, what.deadline_);
    call.fields_["cuminfold-idempotent"] = what.idempotent_ ? "true" : "false";
    call.fields_["cuminfold-hops"] = std::to_string(what.hops_);
    call.fields_["cuminfold-team"] = what.team_.text();
    call.fields_["cuminfold-urgent"] = what.urgent_ ? "true" : "false";
    open_dispatch open;
    open.request_ = what.request_;
    open.forwarded_ = true;
    start(what.dispatch_, std::move(open), std::move(call));
}

void worker_duty::act(close_dispatch const& what)
{
    auto const found = open_.find(what.dispatch_);
    if (found != open_.end())
    {
        client_.cancel(found->second.call_);
        open_.erase(found);
    }
}

void worker_duty::start(dispatch_number number, open_dispatch open,
                        http_call call)
{
    open.call_ = client_.start(std::move(call), [this, number](http_result end)
                               { finish(number, std::move(end)); });
    open_.emplace(number, std::move(open));
}

void worker_duty::finish(dispatch_number number, http_result reply)
{
    auto const found = open_.find(number);
    if (found == open_.end())
    {
        return;
    }
    open_dispatch const open = std::move(found->second);
    open_.erase(found);
    dispatch_result result = open.forwarded_ ? classify_gateway_reply(reply)
                                             : classify_worker_reply(reply);
    result.dispatch_ = number;
    if (result.end_ == dispatch_end::answered ||
        result.end_ == dispatch_end::worker_error)
    {
        keep_reply(result, open.request_, std::move(reply.response_));
    }
    input_->deliver(std::move(result));
}

void worker_duty::keep_reply(dispatch_result& result, request_id const& request,
                             http_response reply)
{
    if (reply.body_.size() <= max_short_body_bytes)
    {
        result.short_body_ = reply.body_;
    }
    if (!exchanges_.keep_reply(request, result.dispatch_, std::move(reply)))
    {
        result.end_ = dispatch_end::too_large;
        result.short_body_.reset();
    }
}

void worker_duty::report_not_sent(dispatch_number number)
{
    dispatch_result result;
    result.dispatch_ = number;
    result.end_ = dispatch_end::not_sent;
    input_->deliver(std::move(result));
}

} // namespace cuminfold
