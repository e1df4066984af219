#include "kernel/gateway/gateway_world.hpp"

#include "kernel/streams.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

constexpr duration tick = std::chrono::milliseconds{1};

incarnation const& controller()
{
    static incarnation const self{node_id{"controller"}, 1};
    return self;
}

} // namespace

gateway_world::gateway_world(std::uint64_t seed, gateway_settings base)
    : random_(seed), base_(std::move(base))
{
    pool_spec pool;
    pool.name_ = pool_name{"p"};
    intended_.pools_[pool.name_] = pool;
    for (auto const* name : {"quick", "once"})
    {
        service_spec service;
        service.name_ = service_name{name};
        service.pool_ = pool.name_;
        service.idempotent_ = service.name_.text() == "quick";
        service.declared_run_time_ = std::chrono::milliseconds{20};
        service.deadline_ = std::chrono::milliseconds{500};
        intended_.services_[service.name_] = service;
    }
    run_time_ = [](std::mt19937_64&) { return std::chrono::milliseconds{20}; };
    append(config_stream(), {record{{controller(), 1},
                                    record_version,
                                    no_offset,
                                    config_change{"test", {}}}});
}

std::size_t gateway_world::add_vm(std::string const& data_centre,
                                  std::string const& rack, std::uint32_t slots)
{
    std::size_t const index = workers_.size();
    fake_worker worker;
    worker.vm_ = vm_id{"vm-" + std::to_string(index)};
    worker.rack_ = rack_name{rack};
    worker.slots_ = slots;
    write_fleet(vm_added{worker.vm_, std::to_string(index),
                         data_centre_name{data_centre}, worker.rack_,
                         vm_shape{16, 65536, 0, slots, 64}});
    // The fold counts a VM's generation from the records before it.
    write_fleet(
        vm_assigned{worker.vm_, next_sequence_ - 1, pool_name{"p"}, "test"});
    workers_.push_back(std::move(worker));
    return index;
}

std::size_t gateway_world::add_gateway(std::string const& data_centre)
{
    std::size_t const index = gateways_.size();
    gateway_settings settings = base_;
    settings.self_ =
        incarnation{node_id{"gateway-" + std::to_string(index)}, 1};
    settings.data_centre_ = data_centre_name{data_centre};
    settings.address_ = "gateway " + std::to_string(index);
    settings.seed_ = index + 1;
    auto const merger = [this](config_files const&) {
        return merge_result{std::make_shared<intended_state>(intended_), {}};
    };
    fake_gateway gateway;
    gateway.address_ = settings.address_;
    gateway.kernel_ = std::make_unique<gateway_kernel>(settings, merger);
    gateways_.push_back(std::move(gateway));
    send(index, gateway_tick{});
    return index;
}

void gateway_world::kill_gateway(std::size_t index)
{
    gateways_[index].alive_ = false;
}

void gateway_world::run_for(duration time)
{
    time_point const end = now_ + time;
    while (now_ < end)
    {
        time_point const next = std::min(now_ + tick, end);
        while (!scheduled_events_.empty() &&
               scheduled_events_.top().at_ <= next)
        {
            scheduled_event const event = scheduled_events_.top();
            scheduled_events_.pop();
            now_ = std::max(now_, event.at_);
            event.action_();
        }
        now_ = next;
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            send(i, gateway_tick{});
        }
        auto const expired = std::partition(
            pending_reads_.begin(), pending_reads_.end(),
            [&](pending_read const& read) { return read.until_ > now_; });
        std::vector<pending_read> const done(expired, pending_reads_.end());
        pending_reads_.erase(expired, pending_reads_.end());
        for (auto const& read : done)
        {
            answer_read(read.gateway_, read.read_);
        }
    }
}

request_id gateway_world::submit(std::size_t gateway, caller_request request)
{
    request.request_ = request_id{std::to_string(next_request_++)};
    std::string const name =
        request.key_.empty() ? request.request_.text() : request.key_;
    origins_[request.request_] =
        origin{name, request.request_, now_, std::nullopt, 0};
    outcomes_[request.request_];
    send(gateway, request);
    return request.request_;
}

void gateway_world::send(std::size_t gateway, gateway_event const& event)
{
    if (!gateways_[gateway].alive_)
    {
        return;
    }
    for (auto const& action : gateways_[gateway].kernel_->handle(now_, event))
    {
        perform(gateway, action);
    }
}

void gateway_world::write_fleet(record_body body)
{
    append(fleet_stream(), {record{{controller(), next_sequence_++},
                                   record_version,
                                   0,
                                   std::move(body)}});
}

std::uint64_t gateway_world::runs(std::string const& name) const
{
    auto const found = runs_.find(name);
    return found == runs_.end() ? 0 : found->second;
}

std::uint64_t gateway_world::runs_of(request_id const& request) const
{
    auto const found = request_runs_.find(request);
    return found == request_runs_.end() ? 0 : found->second;
}

void gateway_world::schedule(duration delay, std::function<void()> action)
{
    scheduled_events_.push(
        scheduled_event{now_ + delay, next_order_++, std::move(action)});
}

bool gateway_world::draw(double share)
{
    return static_cast<double>(random_() % 10000) < share * 10000;
}

void gateway_world::perform(std::size_t gateway, gateway_action const& action)
{
    std::visit([&](auto const& payload) { act(gateway, payload); }, action);
}

void gateway_world::act(std::size_t gateway, log_read const& action)
{
    auto const& entries = streams_[action.stream_];
    if (!log_down_ && action.from_ >= entries.size() &&
        action.wait_ > duration{0})
    {
        pending_reads_.push_back({gateway, action, now_ + action.wait_});
        return;
    }
    schedule(log_delay_,
             [this, gateway, action] { answer_read(gateway, action); });
}

void gateway_world::answer_read(std::size_t gateway, log_read const& read)
{
    log_read_result result;
    result.stream_ = read.stream_;
    result.from_ = read.from_;
    if (!log_down_)
    {
        auto const& entries = streams_[read.stream_];
        result.status_ = log_read_status::ok;
        result.end_ = entries.size();
        for (std::size_t i = read.from_;
             i < entries.size() && result.entries_.size() < read.limit_; ++i)
        {
            result.entries_.push_back(entries[i]);
        }
    }
    send(gateway, result);
}

void gateway_world::act(std::size_t gateway, log_append const& action)
{
    schedule(log_delay_,
             [this, gateway, action]
             {
                 log_append_result result;
                 result.stream_ = action.stream_;
                 result.ticket_ = action.ticket_;
                 if (log_down_)
                 {
                     send(gateway, result);
                     return;
                 }
                 append(action.stream_, action.records_);
                 result.status_ = log_append_status::appended;
                 if (!draw(lost_replies_))
                 {
                     send(gateway, result);
                 }
             });
}

void gateway_world::append(stream_name const& stream,
                           std::vector<record> records)
{
    auto& entries = streams_[stream];
    entries.push_back(log_entry{entries.size(), std::move(records)});
    auto const ready = std::partition(
        pending_reads_.begin(), pending_reads_.end(),
        [&](pending_read const& read) { return read.read_.stream_ != stream; });
    for (auto it = ready; it != pending_reads_.end(); ++it)
    {
        pending_read const read = *it;
        schedule(log_delay_,
                 [this, read] { answer_read(read.gateway_, read.read_); });
    }
    pending_reads_.erase(ready, pending_reads_.end());
}

void gateway_world::act(std::size_t gateway, dispatch_to_worker const& action)
{
    schedule(link_delay_,
             [this, gateway, action] { start_run(gateway, action); });
}

void gateway_world::start_run(std::size_t gateway,
                              dispatch_to_worker const& action)
{
    std::size_t const index = std::stoul(action.address_);
    fake_worker& worker = workers_[index];
    dispatch_result result;
    result.dispatch_ = action.dispatch_;
    if (worker.mode_ == worker_mode::gone)
    {
        result.end_ = dispatch_end::not_sent;
        reply(gateway, result);
        return;
    }
    result.worker_leaving_ = worker.leaving_;
    if (worker.busy_ >= worker.slots_)
    {
        ++worker.refused_;
        result.end_ = dispatch_end::not_started;
        result.busy_slots_ = static_cast<std::int32_t>(worker.busy_);
        reply(gateway, result);
        return;
    }
    ++worker.started_;
    ++runs_[origins_.at(action.request_).name_];
    ++request_runs_[origins_.at(action.request_).root_];
    if (worker.mode_ == worker_mode::hanging)
    {
        return;
    }
    ++worker.busy_;
    worker.max_busy_ = std::max(worker.max_busy_, worker.busy_);
    bool const fails = worker.mode_ == worker_mode::failing;
    duration const run =
        fails ? duration{std::chrono::milliseconds{1}} : run_time_(random_);
    schedule(run,
             [this, gateway, index, result, fails]() mutable
             {
                 fake_worker& at = workers_[index];
                 --at.busy_;
                 result.end_ = fails ? dispatch_end::worker_error
                                     : dispatch_end::answered;
                 result.status_ = fails ? 500 : 200;
                 result.short_body_ = "done";
                 result.busy_slots_ = static_cast<std::int32_t>(at.busy_);
                 if (at.mode_ == worker_mode::gone ||
                     draw(lost_worker_replies_))
                 {
                     result.end_ = dispatch_end::lost;
                 }
                 reply(gateway, result);
             });
}

void gateway_world::reply(std::size_t gateway, dispatch_result result)
{
    schedule(link_delay_,
             [this, gateway, result]
             {
                 ends_[{gateway, result.dispatch_}] = result.end_;
                 send(gateway, result);
                 ends_.erase({gateway, result.dispatch_});
             });
}

void gateway_world::act(std::size_t gateway, forward_to_gateway const& action)
{
    schedule(link_delay_ * 2,
             [this, gateway, action]
             {
                 auto const target = std::find_if(
                     gateways_.begin(), gateways_.end(),
                     [&](fake_gateway const& to)
                     { return to.address_ == action.address_ && to.alive_; });
                 if (target == gateways_.end())
                 {
                     dispatch_result result;
                     result.dispatch_ = action.dispatch_;
                     result.end_ = dispatch_end::not_sent;
                     reply(gateway, result);
                     return;
                 }
                 caller_request request;
                 request.request_ = request_id{std::to_string(next_request_++)};
                 request.service_ = action.service_;
                 request.team_ = action.team_;
                 request.key_ = action.key_;
                 request.idempotent_ = action.idempotent_;
                 request.deadline_ = action.deadline_;
                 request.urgent_ = action.urgent_;
                 request.hops_ = action.hops_;
                 origin const& from = origins_.at(action.request_);
                 origins_[request.request_] = origin{
                     from.name_, from.root_, now_, gateway, action.dispatch_};
                 auto const index =
                     static_cast<std::size_t>(target - gateways_.begin());
                 send(index, request);
             });
}

void gateway_world::act(std::size_t, close_dispatch const&) {}

void gateway_world::act(std::size_t gateway, send_answer const& action)
{
    auto const found = ends_.find({gateway, action.dispatch_});
    bool const failed =
        found != ends_.end() && found->second == dispatch_end::worker_error;
    end(action.request_,
        {failed ? outcome_kind::failed : outcome_kind::answered});
}

void gateway_world::act(std::size_t, send_kept_answer const& action)
{
    end(action.request_, {outcome_kind::kept});
}

void gateway_world::act(std::size_t, send_refusal const& action)
{
    end(action.request_, {outcome_kind::refused, action.refusal_.cause(),
                          action.refusal_.retry_after()});
}

void gateway_world::act(std::size_t, send_unknown const& action)
{
    end(action.request_, {outcome_kind::unknown, action.outcome_.cause(),
                          action.outcome_.retry_after()});
}

void gateway_world::act(std::size_t, send_job const&) {}

void gateway_world::act(std::size_t, report_hint const&) {}

void gateway_world::act(std::size_t, count_gateway_reason const& action)
{
    ++reasons_[static_cast<std::size_t>(action.cause_)];
}

void gateway_world::act(std::size_t gateway, gateway_stopped const&)
{
    stopped_.insert(gateway);
}

void gateway_world::end(request_id const& request, caller_outcome outcome)
{
    origin const from = origins_.at(request);
    if (!from.forwarder_)
    {
        auto& stored = outcomes_[request];
        outcome.times_ = stored.times_ + 1;
        outcome.took_ = now_ - from.since_;
        stored = outcome;
        return;
    }
    dispatch_result result;
    result.dispatch_ = from.dispatch_;
    switch (outcome.kind_)
    {
    case outcome_kind::refused:
        result.end_ = dispatch_end::not_started;
        result.cause_ = outcome.cause_;
        result.retry_after_ = outcome.retry_after_;
        break;
    case outcome_kind::unknown:
        result.end_ = dispatch_end::lost;
        result.cause_ = outcome.cause_;
        break;
    case outcome_kind::failed:
        result.end_ = dispatch_end::worker_error;
        break;
    default:
        result.end_ = dispatch_end::answered;
        break;
    }
    reply(*from.forwarder_, result);
}

} // namespace cuminfold
