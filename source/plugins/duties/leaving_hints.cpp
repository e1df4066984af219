#include "kernel/controller/controller_duty.hpp"
#include "kernel/registry.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <variant>

namespace cuminfold
{

namespace
{

/// Time in which the platform's list may still show a VM as live after it was
/// reported as leaving.
constexpr duration confirmation_delay = std::chrono::seconds{15};

/// Notifies all gateways of the data centre that a VM is leaving, as shown by
/// the platform's list or by a worker's reply to one gateway.
///
/// Withdraws the hint when a list received at least `confirmation_delay` later
/// shows the VM as live.
class leaving_hints : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* list = std::get_if<vm_list>(&event))
        {
            on_vm_list(context, *list);
        }
        else if (auto const* received = std::get_if<peer_message>(&event))
        {
            auto const* hint = std::get_if<vm_hint>(&received->message_.body_);
            if (hint != nullptr && hint->leaving_)
            {
                reported_at_.emplace(hint->vm_, context.now_);
                notify_gateways(context, *hint, received->from_.node_);
            }
        }
    }

private:
    void on_vm_list(duty_context& context, vm_list const& list)
    {
        for (auto const& listed : list.vms_)
        {
            if (listed.data_centre_ != context.settings_.data_centre_)
            {
                continue;
            }
            if (listed.state_ == listed_state::leaving)
            {
                reported_at_[listed.vm_] = context.now_;
                notify_gateways(context, vm_hint{listed.vm_, true}, node_id{});
            }
            else
            {
                withdraw_hint(context, listed.vm_);
            }
        }
    }

    void withdraw_hint(duty_context& context, vm_id const& vm)
    {
        auto const found = reported_at_.find(vm);
        if (found != reported_at_.end() &&
            context.now_ - found->second >= confirmation_delay)
        {
            reported_at_.erase(found);
            notify_gateways(context, vm_hint{vm, false}, node_id{});
        }
    }

    /// Sends the hint to all gateways of the data centre except the sender.
    static void notify_gateways(duty_context& context, vm_hint const& hint,
                                node_id const& sender)
    {
        for (auto const& item : context.fleet_.gateways().all())
        {
            bool const own =
                item.second.data_centre_ == context.settings_.data_centre_;
            if (own && item.first != sender)
            {
                context.actions_.emplace_back(
                    send_message{item.first, message{hint}});
            }
        }
    }

    /// When each VM that counts as leaving was last listed as leaving, or first
    /// reported so by a gateway.
    std::map<vm_id, time_point> reported_at_;
};

registrar<controller_duty> const registered{
    "leaving_hints", [](controller_settings const&)
    { return std::make_unique<leaving_hints>(); }};

} // namespace

} // namespace cuminfold
