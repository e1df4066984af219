#include "kernel/gateway/gateway_kernel.hpp"

#include "kernel/streams.hpp"

#include <utility>
#include <variant>

namespace cuminfold
{

gateway_kernel::gateway_kernel(gateway_settings settings, config_merger merger)
    : settings_(std::move(settings)), log_(settings_, std::move(merger)),
      registration_(settings_), claims_(settings_),
      workers_(settings_.requests_), jobs_(settings_),
      requests_(settings_, log_, registration_, claims_, workers_)
{
}

std::vector<gateway_action> gateway_kernel::handle(time_point now,
                                                   gateway_event const& event)
{
    std::vector<gateway_action> actions;
    gateway_context context{now, actions};
    requests_.expire(context);
    std::visit([&](auto const& payload) { on_event(context, payload); }, event);
    requests_.serve_waiting(context);
    jobs_.poll(context, log_);
    registration_.poll(log_);
    acknowledge_releases();
    continue_stop(context);
    claims_.poll(context, log_);
    log_.poll(context);
    return actions;
}

bool gateway_kernel::ready() const noexcept
{
    return registration_.is_registered(log_) && !stopping_;
}

void gateway_kernel::on_event(gateway_context&, gateway_tick const&)
{
    // `handle` does everything that is due by time at every event.
}

void gateway_kernel::on_event(gateway_context& context,
                              caller_request const& event)
{
    requests_.submit(context, event);
}

void gateway_kernel::on_event(gateway_context& context,
                              caller_disconnected const& event)
{
    jobs_.on_caller_disconnected(event.request_);
    requests_.on_caller_disconnected(context, event.request_);
}

void gateway_kernel::on_event(gateway_context& context, caller_job const& event)
{
    jobs_.submit(context, log_, event);
}

void gateway_kernel::on_event(gateway_context& context,
                              caller_job_cancel const& event)
{
    jobs_.cancel(context, log_, event);
}

void gateway_kernel::on_event(gateway_context& context,
                              dispatch_result const& event)
{
    requests_.on_dispatch_result(context, event);
}

void gateway_kernel::on_event(gateway_context&, gateway_stop const&)
{
    stopping_ = true;
    requests_.stop();
}

void gateway_kernel::on_event(gateway_context& context,
                              controller_message const& event)
{
    if (auto const* hint = std::get_if<vm_hint>(&event.message_.body_))
    {
        workers_.hint(context.now_, hint->vm_, hint->leaving_);
    }
}

void gateway_kernel::on_event(gateway_context& context,
                              log_read_result const& event)
{
    update_workers(log_.handle(context.now_, event));
    if (event.stream_ == fleet_stream())
    {
        requests_.count_gateways();
    }
    for (auto const& resolution : claims_.handle(context.now_, event))
    {
        requests_.on_claim_resolved(context, resolution);
    }
}

void gateway_kernel::on_event(gateway_context& context,
                              log_append_result const& event)
{
    log_.handle(context.now_, event);
    claims_.handle(context.now_, event);
}

void gateway_kernel::update_workers(std::vector<vm_id> const& changed)
{
    for (auto const& vm : changed)
    {
        vm_entry const* const entry = log_.fleet().vms().find(vm);
        if (entry == nullptr)
        {
            workers_.remove(vm);
            releases_.remove(vm);
        }
        else if (entry->data_centre_ == settings_.data_centre_)
        {
            workers_.update(*entry);
            releases_.update(*entry);
        }
    }
}

void gateway_kernel::acknowledge_releases()
{
    releases_.poll(log_.fleet_writer(),
                   [this](vm_id const& vm)
                   {
                       worker_entry const* const worker = workers_.find(vm);
                       return worker != nullptr && worker->in_flight_ != 0;
                   });
}

void gateway_kernel::continue_stop(gateway_context& context)
{
    bool const finished = requests_.open() == 0 && jobs_.idle();
    if (!stopping_ || stopped_ || !finished)
    {
        return;
    }
    registration_.leave(context.now_, log_);
    bool const recorded = claims_.all_resolved() ||
                          registration_.is_leave_timed_out(context.now_);
    if (recorded && registration_.has_left(context.now_, log_))
    {
        stopped_ = true;
        context.act(gateway_stopped{});
    }
}

} // namespace cuminfold
