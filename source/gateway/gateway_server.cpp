#include "gateway/gateway_server.hpp"

#include "config/merge_files.hpp"
#include "gateway/caller_api.hpp"
#include "gateway/gateway_settings_file.hpp"
#include "gateway/relay_client.hpp"
#include "kernel/gateway/gateway_kernel.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/io_thread.hpp"
#include "transport/kernel_thread.hpp"
#include "transport/metrics.hpp"
#include "transport/signals.hpp"

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

using kernel_loop =
    kernel_thread<gateway_kernel, gateway_event, gateway_action>;

/// The adapters around the kernel: callers, workers and controllers on one
/// I/O thread, the decisions on another one.
class gateway_program
{
public:
    explicit gateway_program(gateway_program_settings settings)
        : settings_(std::move(settings)), io_(settings_.ring_capacity_),
          workers_(io_.context(), settings_.workers_)
    {
    }

    int run()
    {
        http_handler handler;
        handler.request_ = [this](std::uint64_t exchange, http_request request,
                                  http_responder respond)
        { on_request(exchange, std::move(request), std::move(respond)); };
        handler.gone_ = [this](std::uint64_t exchange) { on_gone(exchange); };
        handler.rejected_ = [this](char const* what)
        { metrics_.add("cuminfold_rejected_total", 1, "what", what); };
        callers_ = std::make_unique<http_server>(io_.context(),
                                                 settings_.callers_, handler);
        std::string const address = callers_->listen(settings_.listen_);
        settings_.kernel_.address_ = address;
        start_kernel();
        start_relay(address);
        io_.start();
        kernel_->start();
        announce(address);
        write_log(log_level::info, "started",
                  {{"address", address},
                   {"node", settings_.kernel_.self_.node_.text()}});
        wait_for_stop_signal();
        return stop();
    }

private:
    /// A caller that waits for its answer.
    struct waiting_caller
    {
        std::uint64_t exchange_ = 0;
        http_responder respond_;
        std::shared_ptr<std::string const> body_;
        std::string key_;
        time_point since_;
    };

    void start_kernel()
    {
        kernel_ = std::make_unique<kernel_loop>(
            std::make_unique<gateway_kernel>(settings_.kernel_, &merge_files),
            settings_.tick_, [] { return gateway_event{gateway_tick{}}; },
            [this](gateway_action&& action)
            {
                io_.run([this, held = std::make_shared<gateway_action>(
                                   std::move(action))] { perform(*held); });
            });
        input_ = &kernel_->add_input(settings_.ring_capacity_);
        control_ = &kernel_->add_input(control_capacity);
    }

    void start_relay(std::string const& address)
    {
        hello self;
        self.node_ = settings_.kernel_.self_;
        self.role_ = node_role::gateway;
        self.data_centre_ = settings_.kernel_.data_centre_;
        self.address_ = address;
        relay_client::handler heard;
        heard.read_ = [this](log_read_result result)
        { submit(std::move(result)); };
        heard.append_ = [this](log_append_result result)
        { submit(std::move(result)); };
        heard.other_ = [this](message what)
        { submit(controller_message{std::move(what)}); };
        heard.refused_ = [this](reason why) { metrics_.count(why); };
        relay_ = std::make_unique<relay_client>(
            io_.context(), self, settings_.controllers_, std::move(heard));
    }

    int stop()
    {
        write_log(log_level::info, "stopping");
        control_->submit(gateway_stop{});
        auto const finished = stopped_.get_future();
        bool const clean = finished.wait_for(settings_.stop_limit_) ==
                           std::future_status::ready;
        std::promise<void> closed;
        io_.run_from_outside([&]
                             { callers_->stop([&] { closed.set_value(); }); });
        closed.get_future().wait_for(std::chrono::seconds{5});
        kernel_->stop();
        io_.stop();
        write_log(log_level::info, "stopped");
        return clean ? exit_fine : exit_failed;
    }

    /// Hands an event to the kernel; a full ring is counted.
    bool submit(gateway_event event)
    {
        bool const taken = input_->submit(std::move(event));
        if (!taken)
        {
            metrics_.count(reason::ring_full);
        }
        return taken;
    }

    static time_point now()
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    }

    void on_request(std::uint64_t exchange, http_request request,
                    http_responder respond)
    {
        caller_target const target = find_caller_target(request);
        switch (target.resource_)
        {
        case caller_resource::request:
            take_request(exchange, std::move(request), target.name_,
                         std::move(respond));
            return;
        case caller_resource::submit_job:
            take_job(exchange, request, target.name_, std::move(respond));
            return;
        case caller_resource::cancel_job:
            take_cancel(exchange, target.name_, std::move(respond));
            return;
        case caller_resource::read_job:
            read_job(target.name_, std::move(respond));
            return;
        case caller_resource::health:
            respond(make_response(200, "text/plain", "ok\n"));
            return;
        case caller_resource::readiness:
            answer_readiness(std::move(respond));
            return;
        case caller_resource::metrics:
            respond(make_response(200, "text/plain; version=0.0.4",
                                  metrics_.write()));
            return;
        case caller_resource::none:
            respond(make_response(404, "text/plain", "no such resource\n"));
            return;
        }
    }

    request_id next_request_id()
    {
        auto const& self = settings_.kernel_.self_;
        return request_id{self.node_.text() + "-" +
                          std::to_string(self.number_) + "-" +
                          std::to_string(next_request_++)};
    }

    void take_request(std::uint64_t exchange, http_request http,
                      std::string const& service, http_responder respond)
    {
        auto parsed = parse_caller_request(http, service, next_request_id());
        if (auto const* wrong = std::get_if<std::string>(&parsed))
        {
            metrics_.count(reason::bad_request);
            respond(make_bad_request(*wrong));
            return;
        }
        auto request = std::get<caller_request>(std::move(parsed));
        waiting_caller caller;
        caller.exchange_ = exchange;
        caller.respond_ = std::move(respond);
        caller.body_ =
            std::make_shared<std::string const>(std::move(http.body_));
        caller.key_ = request.key_;
        request_id const id = request.request_;
        wait_for_kernel(id, std::move(caller), std::move(request));
    }

    void take_job(std::uint64_t exchange, http_request const& http,
                  std::string const& service, http_responder respond)
    {
        auto parsed = parse_caller_job(http, service, next_request_id());
        if (auto const* wrong = std::get_if<std::string>(&parsed))
        {
            metrics_.count(reason::bad_request);
            respond(make_bad_request(*wrong));
            return;
        }
        auto job = std::get<caller_job>(std::move(parsed));
        waiting_caller caller;
        caller.exchange_ = exchange;
        caller.respond_ = std::move(respond);
        request_id const id = job.request_;
        wait_for_kernel(id, std::move(caller), std::move(job));
    }

    void take_cancel(std::uint64_t exchange, std::string const& job,
                     http_responder respond)
    {
        caller_job_cancel cancel;
        cancel.request_ = next_request_id();
        cancel.job_ = job_id{job};
        cancel.deadline_ = std::chrono::seconds{5};
        waiting_caller caller;
        caller.exchange_ = exchange;
        caller.respond_ = std::move(respond);
        request_id const id = cancel.request_;
        wait_for_kernel(id, std::move(caller), std::move(cancel));
    }

    void wait_for_kernel(request_id held, waiting_caller caller,
                         gateway_event event)
    {
        caller.since_ = now();
        exchanges_[caller.exchange_] = held;
        waiting_[held] = std::move(caller);
        if (!submit(std::move(event)))
        {
            request_progress const nothing;
            nothing.conclude(
                [&](not_started_proof proof) {
                    answer(held,
                           make_refusal(not_run{proof, reason::ring_full}));
                },
                [] {});
        }
    }

    void read_job(std::string const& job, http_responder respond)
    {
        bool const asked = input_->ask(
            [this, job, respond](gateway_kernel const& kernel)
            {
                job_entry const* found =
                    kernel.fleet().jobs().find(job_id{job});
                http_response response =
                    found == nullptr
                        ? make_response(404, "text/plain", "no such job\n")
                        : describe_job(200, *found);
                io_.run([respond, response] { respond(response); });
            });
        if (!asked)
        {
            metrics_.count(reason::ring_full);
            respond(make_response(503, "text/plain", "overloaded\n"));
        }
    }

    void answer_readiness(http_responder respond)
    {
        input_->ask(
            [this, respond](gateway_kernel const& kernel)
            {
                bool const ready = kernel.ready();
                io_.run(
                    [respond, ready]
                    {
                        respond(
                            make_response(ready ? 200 : 503, "text/plain",
                                          ready ? "ready\n" : "not ready\n"));
                    });
            });
    }

    void on_gone(std::uint64_t exchange)
    {
        auto const found = exchanges_.find(exchange);
        if (found != exchanges_.end())
        {
            submit(caller_gone{found->second});
        }
    }

    void answer(request_id const& id, http_response response)
    {
        auto const found = waiting_.find(id);
        if (found == waiting_.end())
        {
            return;
        }
        metrics_.observe(response.status_ == 200 ? "cuminfold_answer"
                                                 : "cuminfold_refusal",
                         now() - found->second.since_);
        response.fields_["cuminfold-request-id"] = id.text();
        exchanges_.erase(found->second.exchange_);
        auto const respond = std::move(found->second.respond_);
        waiting_.erase(found);
        respond(std::move(response));
    }

    void perform(gateway_action& action)
    {
        std::visit([this](auto& what) { act(what); }, action);
    }

    void act(log_read& what)
    {
        relay_->read(std::move(what));
    }

    void act(log_append& what)
    {
        relay_->append(std::move(what));
    }

    void act(dispatch_to_worker& what)
    {
        auto const caller = waiting_.find(what.request_);
        if (caller == waiting_.end())
        {
            report_not_sent(what.dispatch_);
            return;
        }
        http_call call;
        call.address_ = what.address_;
        call.target_ = "/v1/run/" + what.service_.text();
        call.fields_["cuminfold-request-id"] = what.request_.text();
        call.fields_["cuminfold-deadline"] =
            std::to_string(what.deadline_.count() / 1000);
        if (!caller->second.key_.empty())
        {
            call.fields_["idempotency-key"] = caller->second.key_;
        }
        call.body_ = *caller->second.body_;
        call.timeout_ = what.deadline_;
        start_dispatch(what.dispatch_, what.request_, std::move(call));
    }

    void act(forward_to_gateway& what)
    {
        auto const caller = waiting_.find(what.request_);
        if (caller == waiting_.end())
        {
            report_not_sent(what.dispatch_);
            return;
        }
        http_call call;
        call.address_ = what.address_;
        call.target_ = "/v1/services/" + what.service_.text() + "/requests";
        call.fields_["cuminfold-deadline"] =
            std::to_string(what.deadline_.count() / 1000);
        call.fields_["cuminfold-idempotent"] =
            what.idempotent_ ? "true" : "false";
        call.fields_["cuminfold-hops"] = std::to_string(what.hops_);
        call.fields_["cuminfold-team"] = what.team_.text();
        call.fields_["cuminfold-urgent"] = what.urgent_ ? "true" : "false";
        if (!what.key_.empty())
        {
            call.fields_["idempotency-key"] = what.key_;
        }
        call.body_ = *caller->second.body_;
        call.timeout_ = what.deadline_;
        start_dispatch(what.dispatch_, request_id{}, std::move(call));
    }

    void start_dispatch(dispatch_number number, request_id expected,
                        http_call call)
    {
        calls_[number] = workers_.start(
            std::move(call),
            [this, number, expected = std::move(expected)](http_result result)
            {
                calls_.erase(number);
                on_reply(number, expected, std::move(result));
            });
    }

    void report_not_sent(dispatch_number number)
    {
        dispatch_result result;
        result.dispatch_ = number;
        result.end_ = dispatch_end::not_sent;
        must_submit(std::move(result));
    }

    /// What happened to a dispatch must reach the kernel, full ring or not.
    void must_submit(gateway_event event)
    {
        while (!input_->submit(event))
        {
            metrics_.count(reason::ring_full);
            std::this_thread::yield();
        }
    }

    void on_reply(dispatch_number number, request_id const& expected,
                  http_result reply)
    {
        dispatch_result result;
        result.dispatch_ = number;
        result.end_ = end_of(expected, reply);
        result.status_ = reply.response_.status_;
        auto const& fields = reply.response_.fields_;
        auto const busy = fields.find("cuminfold-busy-slots");
        if (busy != fields.end())
        {
            result.busy_slots_ = std::atoi(busy->second.c_str());
        }
        result.worker_leaving_ = fields.count("cuminfold-leaving") != 0;
        auto const type = fields.find("content-type");
        if (type != fields.end())
        {
            result.content_type_ = type->second;
        }
        if (reply.response_.body_.size() <= short_body_limit)
        {
            result.short_body_ = reply.response_.body_;
        }
        replies_[number] = std::move(reply.response_);
        must_submit(std::move(result));
    }

    static dispatch_end end_of(request_id const& expected,
                               http_result const& reply)
    {
        switch (reply.end_)
        {
        case http_end::not_sent:
            return dispatch_end::not_sent;
        case http_end::lost:
            return dispatch_end::lost;
        case http_end::timeout:
            return dispatch_end::timeout;
        case http_end::truncated:
            return dispatch_end::truncated;
        case http_end::too_large:
            return dispatch_end::too_large;
        case http_end::whole:
            break;
        }
        auto const& fields = reply.response_.fields_;
        if (fields.count("cuminfold-not-started") != 0)
        {
            return dispatch_end::not_started;
        }
        auto const id = fields.find("cuminfold-request-id");
        if (!expected.empty() &&
            (id == fields.end() || id->second != expected.text()))
        {
            return dispatch_end::mismatched;
        }
        return reply.response_.status_ >= 500 ? dispatch_end::worker_error
                                              : dispatch_end::answered;
    }

    void act(close_dispatch& what)
    {
        replies_.erase(what.dispatch_);
        auto const found = calls_.find(what.dispatch_);
        if (found != calls_.end())
        {
            workers_.cancel(found->second);
            calls_.erase(found);
        }
    }

    void act(send_answer& what)
    {
        auto const found = replies_.find(what.dispatch_);
        if (found == replies_.end())
        {
            return;
        }
        http_response response;
        response.status_ = found->second.status_;
        response.fields_["content-type"] =
            found->second.fields_["content-type"];
        response.body_ = std::move(found->second.body_);
        replies_.erase(found);
        answer(what.request_, std::move(response));
    }

    void act(send_kept_answer& what)
    {
        http_response response = make_response(what.status_, what.content_type_,
                                               std::move(what.body_));
        response.fields_["cuminfold-kept-answer"] = "true";
        answer(what.request_, std::move(response));
    }

    void act(send_refusal& what)
    {
        answer(what.request_, make_refusal(what.refusal_));
    }

    void act(send_unknown& what)
    {
        answer(what.request_, make_unknown_outcome(what.outcome_));
    }

    void act(send_job& what)
    {
        input_->ask(
            [this, what](gateway_kernel const& kernel)
            {
                job_entry const* found = kernel.fleet().jobs().find(what.job_);
                http_response response =
                    found == nullptr
                        ? make_response(404, "text/plain", "no such job\n")
                        : describe_job(202, *found);
                io_.run([this, what, response]
                        { answer(what.request_, response); });
            });
    }

    void act(tell_hint& what)
    {
        relay_->tell(message{what.hint_});
    }

    void act(count_gateway_reason& what)
    {
        metrics_.count(what.why_);
    }

    void act(gateway_stopped&)
    {
        if (!stop_told_)
        {
            stop_told_ = true;
            stopped_.set_value();
        }
    }

    static constexpr std::size_t control_capacity = 16;
    static constexpr std::size_t short_body_limit = 4096;

    gateway_program_settings settings_;
    metrics metrics_;
    io_thread io_;
    http_client workers_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<relay_client> relay_;
    std::unique_ptr<kernel_loop> kernel_;
    kernel_loop::input* input_ = nullptr;
    kernel_loop::input* control_ = nullptr;
    std::uint64_t next_request_ = 1;
    std::map<request_id, waiting_caller> waiting_;
    std::map<std::uint64_t, request_id> exchanges_;
    std::map<dispatch_number, std::uint64_t> calls_;
    std::map<dispatch_number, http_response> replies_;
    std::promise<void> stopped_;
    bool stop_told_ = false;
};

} // namespace

int run_gateway(server_arguments const& arguments)
{
    auto const settings = load_gateway_settings(arguments);
    start_log("cuminfold-gateway", settings.log_.format_, settings.log_.level_);
    gateway_program program(settings);
    return program.run();
}

} // namespace cuminfold
