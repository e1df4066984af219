#include "worker/worker_vm.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cuminfold
{

namespace
{

using boost::asio::steady_timer;
using nlohmann::json;
using std::chrono::milliseconds;

http_response json_response(unsigned status, json const& body)
{
    return make_response(status, "application/json", body.dump());
}

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

std::int64_t field_number(http_request const& request, std::string const& name,
                          std::int64_t default_value)
{
    std::string const text = request.field(name);
    return text.empty() ? default_value
                        : std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

worker_vm::worker_vm(boost::asio::io_context& context,
                     worker_vm_settings settings, std::uint64_t seed)
    : context_(context), settings_(std::move(settings)), random_(seed)
{
    http_server_limits limits;
    limits.connections_ = settings_.shape_.connections_;
    http_handler handler;
    handler.request_ = [this](std::uint64_t exchange, http_request request,
                              http_responder respond)
    { handle(exchange, std::move(request), std::move(respond)); };
    handler.gone_ = [this](std::uint64_t exchange) { on_disconnect(exchange); };
    handler.overloaded_ = [this](http_request const& request)
    { return refuse(request, "all connections busy\n"); };
    server_ = std::make_unique<http_server>(context_, limits, handler);
}

std::string worker_vm::listen()
{
    return server_->listen(settings_.listen_);
}

json worker_vm::describe(std::string const& address) const
{
    return {{"address", address},
            {"data_centre", settings_.data_centre_.text()},
            {"rack", settings_.rack_.text()},
            {"cores", settings_.shape_.cores_},
            {"memory_mb", settings_.shape_.memory_mb_},
            {"accelerators", settings_.shape_.accelerators_},
            {"slots", settings_.shape_.slots_},
            {"connections", settings_.shape_.connections_},
            {"state", "live"},
            {"entry", false}};
}

void worker_vm::stop(std::function<void()> done)
{
    server_->stop(std::move(done));
}

void worker_vm::on_disconnect(std::uint64_t exchange)
{
    ++abandoned_;
    if (hanging_.erase(exchange) != 0)
    {
        --running_;
    }
}

void worker_vm::handle(std::uint64_t exchange, http_request request,
                       http_responder respond)
{
    auto const parts = request.parts();
    if (rebooting_)
    {
        respond(refuse(request, "rebooting\n"));
    }
    else if (parts.size() == 3 && parts[0] == "v1" && parts[1] == "run")
    {
        run_request(exchange, parts[2], request, respond);
    }
    else if (parts.size() == 4 && parts[1] == "tasks")
    {
        call_task(request, respond);
    }
    else if (parts.size() == 2 && parts[1] == "status")
    {
        answer_status(respond);
    }
    else if (parts.size() == 2 && parts[1] == "counts")
    {
        answer_counts(respond);
    }
    else if (parts.size() == 2 && parts[1] == "faults")
    {
        set_faults(request, respond);
    }
    else if (parts.size() == 2 && parts[1] == "reboot")
    {
        reboot(respond);
    }
    else
    {
        respond(json_response(404, {{"error", "no such resource"}}));
    }
}

void worker_vm::run_request(std::uint64_t exchange, std::string const& service,
                            http_request const& request,
                            http_responder const& respond)
{
    if (busy() >= settings_.shape_.slots_)
    {
        respond(refuse(request, "all slots busy\n"));
        return;
    }
    ++running_;
    ++runs_;
    std::string const key = request.field("idempotency-key");
    if (!key.empty())
    {
        ++runs_by_key_[key];
    }
    if (faults_.hang_)
    {
        hanging_.insert(exchange);
        return;
    }
    duration const time =
        faults_.fails_at(now())
            ? duration{0}
            : draw_run_time(settings_.run_time_) + faults_.late_;
    auto const timer = std::make_shared<steady_timer>(context_, time);
    timer->async_wait(
        [this, timer, service, request, respond,
         boot = boot_](boost::system::error_code const& error)
        {
            if (!error)
            {
                answer_run(service, request, respond, boot);
            }
        });
}

void worker_vm::answer_run(std::string const& service,
                           http_request const& request,
                           http_responder const& respond, std::uint64_t boot)
{
    if (boot != boot_ || rebooting_)
    {
        return;
    }
    --running_;
    if (faults_.fails_at(now()))
    {
        respond(make_reply(500, request, "failed\n"));
        return;
    }
    http_response reply =
        make_reply(200, request,
                   service + " " + request.field("cuminfold-request-id") + " " +
                       request.body_);
    respond(apply_faults(faults_, std::move(reply)));
}

http_response worker_vm::refuse(http_request const& request, std::string body)
{
    ++refused_;
    http_response response = make_reply(503, request, std::move(body));
    response.fields_["cuminfold-not-started"] = "true";
    return response;
}

http_response worker_vm::make_reply(unsigned status,
                                    http_request const& request,
                                    std::string body) const
{
    http_response response =
        make_response(status, "text/plain", std::move(body));
    std::string id = request.field("cuminfold-request-id");
    if (faults_.swap_ids_)
    {
        id += "-other";
    }
    response.fields_["cuminfold-request-id"] = id;
    response.fields_["cuminfold-busy-slots"] = std::to_string(busy());
    if (faults_.leaving_)
    {
        response.fields_["cuminfold-leaving"] = "true";
    }
    return response;
}

void worker_vm::call_task(http_request const& request,
                          http_responder const& respond)
{
    // The path is /v1/tasks/JOB/ATTEMPT; a header field names the operation.
    auto const parts = request.parts();
    std::string const name = parts[2] + "/" + parts[3];
    std::string const kind = request.field("cuminfold-task-call");
    auto const found = tasks_.find(name);
    if (kind == "start")
    {
        start_task(name, request, respond);
        return;
    }
    if (found == tasks_.end())
    {
        respond(json_response(404, {{"error", "no such task"}}));
        return;
    }
    if (kind == "renew")
    {
        set_lease(name, field_number(request, "cuminfold-lease-ms", 0));
    }
    else if (kind == "stop" && found->second.state_ == "running")
    {
        end_task(name, "stopped");
    }
    else if (kind == "checkpoint" && found->second.state_ == "running")
    {
        found->second.checkpoint_ = "saved-" + parts[3];
        end_task(name, "stopped");
    }
    respond(json_response(200, {{"state", found->second.state_},
                                {"checkpoint", found->second.checkpoint_}}));
}

void worker_vm::start_task(std::string const& name, http_request const& request,
                           http_responder const& respond)
{
    if (tasks_.count(name) != 0)
    {
        respond(json_response(200, {{"state", tasks_[name].state_}}));
        return;
    }
    if (busy() >= settings_.shape_.slots_ || faults_.fail_all_)
    {
        ++refused_;
        http_response response = json_response(503, {{"error", "not started"}});
        response.fields_["cuminfold-not-started"] = "true";
        respond(std::move(response));
        return;
    }
    auto& started = tasks_[name];
    std::string const key = name.substr(0, name.find('/'));
    ++runs_by_key_[key];
    ++runs_;
    duration const declared =
        milliseconds{field_number(request, "cuminfold-run-time-ms", 1000)};
    started.timer_ =
        std::make_shared<steady_timer>(context_, draw_run_time(declared));
    started.timer_->async_wait(
        [this, name, timer = started.timer_](boost::system::error_code error)
        {
            if (!error)
            {
                end_task(name, "finished");
            }
        });
    set_lease(name, field_number(request, "cuminfold-lease-ms", 10'000));
    respond(json_response(201, {{"state", "running"}}));
}

void worker_vm::set_lease(std::string const& name, std::int64_t count)
{
    auto& current = tasks_[name];
    if (current.state_ != "running")
    {
        return;
    }
    current.lease_ =
        std::make_shared<steady_timer>(context_, milliseconds{count});
    current.lease_->async_wait(
        [this, name, timer = current.lease_](boost::system::error_code error)
        {
            auto const found = tasks_.find(name);
            if (!error && found != tasks_.end() &&
                found->second.lease_ == timer)
            {
                end_task(name, "lapsed");
            }
        });
}

void worker_vm::end_task(std::string const& name, std::string state)
{
    auto& current = tasks_[name];
    if (current.state_ != "running")
    {
        return;
    }
    current.state_ = std::move(state);
    current.timer_->cancel();
    current.lease_.reset();
}

void worker_vm::answer_status(http_responder const& respond)
{
    json body = {{"healthy", !faults_.unhealthy_},
                 {"boot", boot_},
                 {"busy", busy()},
                 {"tasks", json::array()}};
    for (auto const& item : tasks_)
    {
        auto const slash = item.first.find('/');
        body["tasks"].push_back(
            {{"job", item.first.substr(0, slash)},
             {"attempt", std::stoul(item.first.substr(slash + 1))},
             {"state", item.second.state_},
             {"checkpoint", item.second.checkpoint_}});
    }
    respond(json_response(200, body));
}

void worker_vm::answer_counts(http_responder const& respond)
{
    std::uint64_t repeats = 0;
    for (auto const& item : runs_by_key_)
    {
        repeats += item.second - 1;
    }
    respond(json_response(200, {{"vm", settings_.vm_.text()},
                                {"runs", runs_},
                                {"refused", refused_},
                                {"cut", interrupted_},
                                {"reboots", reboots_},
                                {"gone", abandoned_},
                                {"repeated_keys", repeats},
                                {"runs_by_key", runs_by_key_}}));
}

void worker_vm::set_faults(http_request const& request,
                           http_responder const& respond)
{
    json const body = json::parse(request.body_, nullptr, false);
    if (!body.is_object())
    {
        respond(json_response(400, {{"error", "expected a JSON object"}}));
        return;
    }
    update_faults(faults_, body);
    respond(json_response(200, json::object()));
}

void worker_vm::reboot(http_responder const& respond)
{
    interrupted_ += busy();
    ++reboots_;
    ++boot_;
    running_ = 0;
    hanging_.clear();
    rebooting_ = true;
    for (auto& item : tasks_)
    {
        end_task(item.first, "lost");
    }
    tasks_.clear();
    auto const timer =
        std::make_shared<steady_timer>(context_, settings_.reboot_time_);
    timer->async_wait(
        [this, timer](boost::system::error_code error)
        {
            if (!error)
            {
                rebooting_ = false;
            }
        });
    respond(json_response(200, json::object()));
}

std::uint32_t worker_vm::busy() const
{
    auto const tasks = std::count_if(
        tasks_.begin(), tasks_.end(),
        [](auto const& item) { return item.second.state_ == "running"; });
    return running_ + static_cast<std::uint32_t>(tasks);
}

duration worker_vm::draw_run_time(duration mean)
{
    if (mean.count() == 0)
    {
        return duration{0};
    }
    std::exponential_distribution<double> draw(
        1.0 / static_cast<double>(mean.count()));
    auto const count = static_cast<std::int64_t>(draw(random_));
    return duration{count * static_cast<std::int64_t>(faults_.slowdown_)};
}

} // namespace cuminfold
