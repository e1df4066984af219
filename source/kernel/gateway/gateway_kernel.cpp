#include "kernel/gateway/gateway_kernel.hpp"

#include "kernel/streams.hpp"

#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

reason reason_of(dispatch_end end)
{
    switch (end)
    {
    case dispatch_end::timeout:
        return reason::worker_timeout;
    case dispatch_end::truncated:
        return reason::reply_truncated;
    case dispatch_end::mismatched:
        return reason::reply_mismatched;
    case dispatch_end::too_large:
        return reason::reply_too_large;
    case dispatch_end::not_started:
    case dispatch_end::not_sent:
        return reason::worker_refused;
    default:
        return reason::worker_lost;
    }
}

} // namespace

gateway_kernel::gateway_kernel(gateway_settings settings, config_merger merger)
    : settings_(std::move(settings)), config_(std::move(merger)),
      config_tail_(config_stream(), settings_.tail_),
      fleet_tail_(fleet_stream(), settings_.tail_),
      fleet_writer_(fleet_stream(), settings_.self_, settings_.writer_)
{
}

std::vector<gateway_action> gateway_kernel::handle(time_point now,
                                                   gateway_event const& event)
{
    actions_.clear();
    take(now, event);
    register_self();
    acknowledge_releases();
    poll_log(now);
    if (stopping_ && requests_.empty())
    {
        actions_.emplace_back(gateway_stopped{});
    }
    return std::move(actions_);
}

bool gateway_kernel::ready() const noexcept
{
    return fleet_.gateways().live(settings_.self_);
}

void gateway_kernel::take(time_point now, gateway_event const& event)
{
    if (std::holds_alternative<gateway_tick>(event))
    {
        expire(now);
    }
    else if (auto const* request = std::get_if<caller_request>(&event))
    {
        admit(now, *request);
    }
    else if (auto const* result = std::get_if<dispatch_result>(&event))
    {
        finish(now, *result);
    }
    else if (std::holds_alternative<gateway_stop>(event))
    {
        stopping_ = true;
    }
    else if (auto const* read = std::get_if<log_read_result>(&event))
    {
        take_log(now, *read);
    }
    else if (auto const* reply = std::get_if<log_append_result>(&event))
    {
        fleet_writer_.take(now, *reply);
    }
}

void gateway_kernel::take_log(time_point now, log_read_result const& result)
{
    if (result.stream_ == config_stream())
    {
        for (auto const& entry : config_tail_.take(now, result))
        {
            config_.apply(entry);
        }
    }
    if (result.stream_ == fleet_stream())
    {
        for (auto& entry : fleet_tail_.take(now, result))
        {
            fleet_backlog_.push_back(std::move(entry));
        }
    }
    fold_fleet();
}

void gateway_kernel::fold_fleet()
{
    while (!fleet_backlog_.empty() &&
           fleet_.apply(fleet_backlog_.front(), config_))
    {
        fleet_writer_.read_back(fleet_backlog_.front());
        fleet_backlog_.pop_front();
    }
}

void gateway_kernel::poll_log(time_point now)
{
    for (auto* tail : {&config_tail_, &fleet_tail_})
    {
        if (auto read = tail->poll(now))
        {
            actions_.emplace_back(std::move(*read));
        }
    }
    if (auto append = fleet_writer_.poll(now))
    {
        actions_.emplace_back(std::move(*append));
    }
}

void gateway_kernel::register_self()
{
    if (registration_ || !fleet_tail_.caught_up())
    {
        return;
    }
    registration_ = fleet_writer_.propose(
        gateway_registered{settings_.data_centre_, settings_.address_});
}

void gateway_kernel::acknowledge_releases()
{
    for (auto const& item : fleet_.vms().all())
    {
        vm_entry const& vm = item.second;
        bool const released =
            vm.phase_ == vm_phase::releasing || vm.phase_ == vm_phase::draining;
        if (!released || vm.data_centre_ != settings_.data_centre_ ||
            in_flight(vm.vm_) != 0 || acknowledged_[vm.vm_] == vm.released_)
        {
            continue;
        }
        acknowledged_[vm.vm_] = vm.released_;
        fleet_writer_.propose(vm_acknowledged{vm.vm_, vm.released_});
    }
}

void gateway_kernel::admit(time_point now, caller_request const& request)
{
    request_entry entry;
    entry.request_ = request;
    if (stopping_)
    {
        refuse(entry, reason::leaving);
        return;
    }
    if (!ready())
    {
        refuse(entry, reason::not_ready);
        return;
    }
    auto const& services = config_.current()->services_;
    auto const service = services.find(request.service_);
    if (service == services.end())
    {
        refuse(entry, reason::unknown_service);
        return;
    }
    if (!request.idempotent_.value_or(service->second.idempotent_))
    {
        refuse(entry, reason::claim_log_unavailable);
        return;
    }
    entry.deadline_ =
        now + request.deadline_.value_or(service->second.deadline_);
    vm_entry const* vm = choose(service->second);
    if (vm == nullptr)
    {
        refuse(entry, reason::no_worker);
        return;
    }
    auto const placed = requests_.emplace(request.request_, entry);
    if (placed.second)
    {
        dispatch(now, placed.first->second, *vm);
    }
}

void gateway_kernel::dispatch(time_point now, request_entry& entry,
                              vm_entry const& vm)
{
    entry.dispatch_ = next_dispatch_++;
    entry.vm_ = vm.vm_;
    entry.progress_.dispatched();
    ++in_flight_[vm.vm_];
    dispatches_[entry.dispatch_] = entry.request_.request_;
    actions_.emplace_back(
        dispatch_to_worker{entry.dispatch_, entry.request_.request_, vm.vm_,
                           vm.address_, entry.request_.service_,
                           entry.deadline_ - now, entry.request_.urgent_});
}

void gateway_kernel::finish(time_point, dispatch_result const& result)
{
    auto const found = dispatches_.find(result.dispatch_);
    if (found == dispatches_.end())
    {
        actions_.emplace_back(count_gateway_reason{reason::late_reply});
        return;
    }
    auto const place = requests_.find(found->second);
    request_entry& entry = place->second;
    --in_flight_[entry.vm_];
    bool const not_started = result.end_ == dispatch_end::not_started ||
                             result.end_ == dispatch_end::not_sent;
    if (not_started)
    {
        entry.progress_.dispatch_not_started();
    }
    else
    {
        entry.progress_.dispatch_may_have_run();
    }
    if (result.end_ == dispatch_end::answered ||
        result.end_ == dispatch_end::worker_error)
    {
        actions_.emplace_back(
            send_answer{entry.request_.request_, result.dispatch_});
    }
    else
    {
        end_unanswered(entry, reason_of(result.end_));
    }
    dispatches_.erase(found);
    requests_.erase(place);
}

void gateway_kernel::expire(time_point now)
{
    for (auto place = requests_.begin(); place != requests_.end();)
    {
        request_entry& entry = place->second;
        if (now < entry.deadline_)
        {
            ++place;
            continue;
        }
        actions_.emplace_back(close_dispatch{entry.dispatch_});
        entry.progress_.dispatch_may_have_run();
        --in_flight_[entry.vm_];
        dispatches_.erase(entry.dispatch_);
        end_unanswered(entry, reason::worker_timeout);
        place = requests_.erase(place);
    }
}

void gateway_kernel::refuse(request_entry const& entry, reason why)
{
    end_unanswered(entry, why);
}

void gateway_kernel::end_unanswered(request_entry const& entry, reason why)
{
    actions_.emplace_back(count_gateway_reason{why});
    entry.progress_.conclude(
        [&](not_started_proof proof)
        {
            actions_.emplace_back(
                send_refusal{entry.request_.request_, not_run{proof, why}});
        },
        [&]
        {
            actions_.emplace_back(
                send_unknown{entry.request_.request_, outcome_unknown{why}});
        });
}

vm_entry const* gateway_kernel::choose(service_spec const& service)
{
    std::vector<vm_entry const*> able;
    for (auto const& item : fleet_.vms().all())
    {
        vm_entry const& vm = item.second;
        if (vm.pool_ == service.pool_ && vm.takes_work() &&
            vm.data_centre_ == settings_.data_centre_ &&
            in_flight(vm.vm_) < vm.shape_.slots_)
        {
            able.push_back(&vm);
        }
    }
    return able.empty() ? nullptr : able[turn_++ % able.size()];
}

std::uint32_t gateway_kernel::in_flight(vm_id const& vm) const
{
    auto const found = in_flight_.find(vm);
    return found == in_flight_.end() ? 0 : found->second;
}

} // namespace cuminfold
