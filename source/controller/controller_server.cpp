#include "controller/controller_server.hpp"

#include "config/merge_files.hpp"
#include "controller/controller_settings_file.hpp"
#include "controller/operator_api.hpp"
#include "controller/platform_client.hpp"
#include "controller/worker_client.hpp"
#include "kernel/controller/controller_kernel.hpp"
#include "kernel/registry.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/io_thread.hpp"
#include "transport/kernel_thread.hpp"
#include "transport/metrics.hpp"
#include "transport/peer_links.hpp"
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
    kernel_thread<controller_kernel, controller_event, controller_action>;

controller_event make_tick()
{
    return tick{std::chrono::time_point_cast<std::chrono::seconds>(
        std::chrono::system_clock::now())};
}

/// Connects the kernel to its adapters. The HTTP interface for operators, the
/// peer links and the platform and worker clients run on one I/O thread; the
/// kernel runs on a thread of its own.
class controller_program
{
public:
    explicit controller_program(controller_program_settings settings)
        : settings_(std::move(settings)), io_(settings_.ring_capacity_),
          http_(io_.context(), http_client_limits{}),
          platform_(http_, settings_.platform_), workers_(http_)
    {
    }

    int run()
    {
        http_handler handler;
        handler.request_ =
            [this](std::uint64_t, http_request request, http_responder respond)
        { on_request(std::move(request), std::move(respond)); };
        operators_ = std::make_unique<http_server>(
            io_.context(), settings_.operators_, handler);
        std::string const address = operators_->listen(settings_.listen_);
        start_links(address);
        start_kernel();
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
    void start_links(std::string const& address)
    {
        hello self;
        self.node_ = settings_.kernel_.self_;
        self.role_ = node_role::controller;
        self.data_centre_ = settings_.kernel_.data_centre_;
        self.address_ = address;
        settings_.kernel_.address_ = address;
        peer_link_handler handler;
        handler.joined_ = [this](hello const& peer) {
            submit(peer_message{peer.node_, message{peer}});
        };
        handler.message_ = [this](incarnation const& from, message received) {
            submit(peer_message{from, std::move(received)});
        };
        handler.lost_ = [this](node_id const& node)
        { submit(peer_disconnected{node}); };
        handler.refused_ = [this](reason cause) { metrics_.count(cause); };
        links_ = std::make_unique<peer_links>(io_.context(), self, handler);
        std::string const bound = links_->listen(settings_.links_);
        write_log(log_level::info, "links", {{"address", bound}});
    }

    void start_kernel()
    {
        auto duties = settings_.duties_;
        if (duties.empty())
        {
            duties = registry<controller_duty>::instance().names();
        }
        kernel_ = std::make_unique<kernel_loop>(
            std::make_unique<controller_kernel>(settings_.kernel_, &merge_files,
                                                duties),
            settings_.tick_, &make_tick,
            [this](controller_action&& action)
            {
                io_.run([this, held = std::make_shared<controller_action>(
                                   std::move(action))] { perform(*held); });
            });
        input_ = &kernel_->add_input(settings_.ring_capacity_);
        io_.run_from_outside(
            [this]
            {
                for (auto const& peer : settings_.peers_)
                {
                    links_->connect(peer);
                }
            });
    }

    int stop()
    {
        write_log(log_level::info, "stopping");
        std::promise<void> closed;
        io_.run_from_outside(
            [&]
            {
                links_->stop();
                operators_->stop([&] { closed.set_value(); });
            });
        closed.get_future().wait_for(std::chrono::seconds{10});
        kernel_->stop();
        io_.stop();
        write_log(log_level::info, "stopped");
        return exit_fine;
    }

    /// Queues an event for the kernel. Returns false and counts `ring_full` if
    /// the queue is full; the event is then dropped.
    bool submit(controller_event event)
    {
        bool const accepted = input_->submit(std::move(event));
        if (!accepted)
        {
            metrics_.count(reason::ring_full);
        }
        return accepted;
    }

    void on_request(http_request request, http_responder respond)
    {
        auto const parts = request.parts();
        if (parts.size() == 1 && parts[0] == "healthz")
        {
            respond(make_response(200, "text/plain", "ok\n"));
        }
        else if (parts.size() == 1 && parts[0] == "metrics")
        {
            respond(make_response(200, "text/plain; version=0.0.4",
                                  metrics_.write()));
        }
        else if (request.method_ == "POST" &&
                 request.path_ == "/v1/config/changes")
        {
            handle_change(request, std::move(respond));
        }
        else if (request.method_ == "GET")
        {
            query_kernel(std::move(request), std::move(respond));
        }
        else
        {
            respond(make_response(404, "text/plain", "no such resource\n"));
        }
    }

    /// Passes a configuration change to the kernel. The response is sent when
    /// the kernel reports the outcome; a malformed change is answered with 400
    /// and a full queue with 503.
    void handle_change(http_request const& request, http_responder respond)
    {
        auto parsed = parse_change(request);
        if (auto const* error = std::get_if<std::string>(&parsed))
        {
            respond(make_response(400, "text/plain", *error + "\n"));
            return;
        }
        auto const ticket = next_ticket_++;
        changes_[ticket] = std::move(respond);
        operator_change change{ticket,
                               std::get<config_change>(std::move(parsed))};
        if (!submit(std::move(change)))
        {
            changes_[ticket](make_response(503, "text/plain", "overloaded\n"));
            changes_.erase(ticket);
        }
    }

    /// Answers a request from the kernel's state, which is read on the kernel
    /// thread; a full queue is answered with 503.
    void query_kernel(http_request request, http_responder respond)
    {
        bool const submitted = input_->ask(
            [this, request, respond](controller_kernel const& kernel)
            {
                http_response response =
                    request.path_ == "/readyz"
                        ? make_response(
                              kernel.ready() ? 200 : 503, "text/plain",
                              kernel.ready() ? "ready\n" : "not ready\n")
                        : answer_operator(request, kernel);
                io_.run([respond, response] { respond(response); });
            });
        if (!submitted)
        {
            metrics_.count(reason::ring_full);
            respond(make_response(503, "text/plain", "overloaded\n"));
        }
    }

    void perform(controller_action& action)
    {
        std::visit([this](auto& alternative) { act(alternative); }, action);
    }

    void act(log_read& action)
    {
        platform_.read(action, [this](log_read_result result)
                       { submit(std::move(result)); });
    }

    void act(log_append& action)
    {
        platform_.append(action,
                         [this](log_append_result result) { submit(result); });
    }

    void act(list_vms&)
    {
        platform_.list(
            [this](std::optional<vm_list> list)
            {
                if (list)
                {
                    submit(std::move(*list));
                }
            });
    }

    void act(probe_vm& action)
    {
        workers_.probe(action, [this](probe_result result)
                       { submit(std::move(result)); });
    }

    void act(call_platform& action)
    {
        platform_.reboot(action.vm_, action.token_,
                         [this](platform_call_result result)
                         { submit(std::move(result)); });
    }

    void act(call_task& action)
    {
        workers_.call(action, [this](task_call_result result)
                      { submit(std::move(result)); });
    }

    void act(send_message& action)
    {
        links_->send(action.to_, action.message_);
    }

    void act(relay_read& action)
    {
        platform_.read(
            action.read_,
            [this, peer = action.peer_,
             ticket = action.ticket_](log_read_result result) {
                submit(relay_read_done{peer, ticket, std::move(result)});
            });
    }

    void act(relay_append& action)
    {
        platform_.append(action.append_,
                         [this, peer = action.peer_,
                          ticket = action.ticket_](log_append_result result) {
                             submit(relay_append_done{peer, ticket, result});
                         });
    }

    void act(operator_reply& action)
    {
        auto const found = changes_.find(action.ticket_);
        if (found != changes_.end())
        {
            auto const respond = std::move(found->second);
            changes_.erase(found);
            respond(describe_outcome(action));
        }
    }

    void act(count_reason& action)
    {
        metrics_.count(action.cause_);
    }

    controller_program_settings settings_;
    metrics metrics_;
    io_thread io_;
    http_client http_;
    platform_client platform_;
    worker_client workers_;
    std::unique_ptr<http_server> operators_;
    std::unique_ptr<peer_links> links_;
    std::unique_ptr<kernel_loop> kernel_;
    kernel_loop::input* input_ = nullptr;
    /// Responders of the configuration changes in flight, by ticket.
    std::map<std::uint64_t, http_responder> changes_;
    std::uint64_t next_ticket_ = 1;
};

} // namespace

int run_controller(server_arguments const& arguments)
{
    auto const settings = load_controller_settings(arguments);
    start_log("cuminfold-controller", settings.log_.format_,
              settings.log_.level_);
    controller_program program(settings);
    return program.run();
}

} // namespace cuminfold
