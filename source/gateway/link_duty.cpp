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
    relay_client::handler heard;
    heard.read_ = [this](log_read_result result)
    { input_->deliver(std::move(result)); };
    heard.append_ = [this](log_append_result result)
    { input_->deliver(std::move(result)); };
    heard.other_ = [this](message what) { take(std::move(what)); };
    heard.refused_ = [this](reason cause) { metrics_.count(cause); };
    relay_ = std::make_unique<relay_client>(io_.context(), self, controllers,
                                            std::move(heard));
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
    relay_->tell(message{what.hint_});
}

void link_duty::take(message what)
{
    if (input_->waiting() >= waiting_limit)
    {
        metrics_.count(reason::ring_full);
        return;
    }
    input_->deliver(controller_message{std::move(what)});
}

} // namespace cuminfold
