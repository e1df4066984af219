#include "controller/worker_client.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;

constexpr duration probe_timeout = std::chrono::seconds{1};

char const* kind_word(task_call_kind kind)
{
    static constexpr std::array<char const*, 4> words = {"start", "renew",
                                                         "checkpoint", "stop"};
    return words[static_cast<std::size_t>(kind)];
}

bool confirms_not_started(http_response const& response)
{
    auto const found = response.fields_.find("cuminfold-not-started");
    return found != response.fields_.end() && found->second == "true";
}

std::string to_milliseconds(duration value)
{
    return std::to_string(value.count() / 1000);
}

task_report parse_task(json const& item)
{
    task_report task;
    task.job_ = job_id{item.at("job").get<std::string>()};
    task.attempt_ = item.at("attempt").get<std::uint32_t>();
    std::string const state = item.at("state").get<std::string>();
    task.running_ = state == "running";
    task.finished_ = state == "finished";
    task.failed_ = state == "failed" || state == "lost" || state == "lapsed";
    task.stopped_ = state == "stopped";
    task.checkpoint_ = item.value("checkpoint", "");
    task.detail_ = state;
    return task;
}

void parse_status(std::string const& text, probe_result& result)
{
    json const body = json::parse(text);
    result.healthy_ = body.at("healthy").get<bool>();
    result.boot_ = body.at("boot").get<std::uint64_t>();
    result.busy_slots_ = body.at("busy").get<std::uint32_t>();
    for (auto const& item : body.at("tasks"))
    {
        result.tasks_.push_back(parse_task(item));
    }
    result.answered_ = true;
}

} // namespace

worker_client::worker_client(http_client& http) : http_(http) {}

void worker_client::probe(probe_vm const& request,
                          std::function<void(probe_result)> done)
{
    http_call call;
    call.address_ = request.address_;
    call.method_ = "GET";
    call.target_ = "/v1/status";
    call.timeout_ = probe_timeout;
    probe_result result;
    result.vm_ = request.vm_;
    http_.start(std::move(call),
                [result, done = std::move(done)](http_result const& reply)
                {
                    probe_result answer = result;
                    bool const whole = reply.end_ == http_end::whole &&
                                       reply.response_.status_ == 200;
                    try
                    {
                        if (whole)
                        {
                            parse_status(reply.response_.body_, answer);
                        }
                    }
                    catch (json::exception const&)
                    {
                        answer = result;
                    }
                    done(std::move(answer));
                });
}

void worker_client::call(call_task const& request,
                         std::function<void(task_call_result)> done)
{
    http_call call;
    call.address_ = request.address_;
    call.target_ = "/v1/tasks/" + request.job_.text() + "/" +
                   std::to_string(request.attempt_);
    call.fields_["cuminfold-task-call"] = kind_word(request.kind_);
    call.fields_["cuminfold-lease-ms"] = to_milliseconds(request.lease_);
    call.fields_["cuminfold-run-time-ms"] =
        to_milliseconds(request.declared_run_time_);
    call.fields_["cuminfold-service"] = request.service_.text();
    call.fields_["cuminfold-checkpoint"] = request.checkpoint_;
    call.body_ = request.body_;
    task_call_result result;
    result.vm_ = request.vm_;
    result.kind_ = request.kind_;
    result.job_ = request.job_;
    result.attempt_ = request.attempt_;
    http_.start(std::move(call),
                [result, done = std::move(done)](http_result const& reply)
                {
                    task_call_result answer = result;
                    answer.not_sent_ = reply.end_ == http_end::not_sent;
                    answer.replied_ = reply.end_ == http_end::whole;
                    answer.accepted_ =
                        answer.replied_ && reply.response_.status_ < 300;
                    answer.not_started_ = answer.replied_ &&
                                          !answer.accepted_ &&
                                          confirms_not_started(reply.response_);
                    answer.detail_ = reply.response_.body_;
                    done(std::move(answer));
                });
}

} // namespace cuminfold
