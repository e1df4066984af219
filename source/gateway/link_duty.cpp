#include "gateway/link_duty.hpp"

#include <utility>

namespace cuminfold
{

link_duty::link_duty(metrics& counters, std::size_t ring_capacity)
    : metrics_(counters), io_(ring_capacity)
{
}

void link_duty::attach(kernel_loop& kernel, std::size_t ring_capacity,
                       hello const& self,
                       std::vector<std::string> const& controllers)
{
    input_ = &kernel.add_input(ring_capacity, input_kind::results);
    input_->on_room([this]
                    { io_.run_from_outside([this] { input_->flush(); }); });
    io_.on_room([&kernel] { kernel.notify(); });
    relay_client::handler callbacks;
    callbacks.read_ = [this](log_read_result result)
    { input_->deliver(std::move(result)); };
    callbacks.append_ = [this](log_append_result result)
    { input_->deliver(std::move(result)); };
    callbacks.other_ = [this](message what)
    { on_controller_message(std::move(what)); };
    callbacks.refused_ = [this](reason cause) { metrics_.count(cause); };
    relay_ = std::make_unique<relay_client>(io_.context(), self, controllers,
                                            std::move(callbacks));
}

void link_duty::act(log_read& what)
{
    relay_->read(std::move(what));
}

void link_duty::act(log_append& what)
{
    relay_->append(std::move(what));
}

void link_duty::act(report_hint& what)
{
    relay_->publish(message{what.hint_});
}

void link_duty::on_controller_message(message what)
{
    if (input_->waiting() >= max_waiting_events)
    {
        metrics_.count(reason::ring_full);
        return;
    }
    input_->deliver(controller_message{std::move(what)});
}

} // namespace cuminfold
