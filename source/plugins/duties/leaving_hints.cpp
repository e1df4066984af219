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

/// Time that the platform's list is given to confirm a worker's own word.
constexpr duration confirm_time = std::chrono::seconds{15};

/// Passes signs that a VM is leaving on to all gateways of the data centre:
/// from the platform's list, and from a worker's own reply to one gateway.
///
/// A sign is taken back when a list that came `confirm_time` later shows the
/// VM as live.
class leaving_hints : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* list = std::get_if<vm_list>(&event))
        {
            take_list(context, *list);
        }
        else if (auto const* received = std::get_if<peer_message>(&event))
        {
            auto const* hint = std::get_if<vm_hint>(&received->message_.body_);
            if (hint != nullptr && hint->leaving_)
            {
                told_at_.emplace(hint->vm_, context.now_);
                tell(context, *hint, received->from_.node_);
            }
        }
    }

private:
    void take_list(duty_context& context, vm_list const& list)
    {
        for (auto const& listed : list.vms_)
        {
            if (listed.data_centre_ != context.settings_.data_centre_)
            {
                continue;
            }
            if (listed.state_ == listed_state::leaving)
            {
                told_at_[listed.vm_] = context.now_;
                tell(context, vm_hint{listed.vm_, true}, node_id{});
            }
            else
            {
                take_back(context, listed.vm_);
            }
        }
    }

    void take_back(duty_context& context, vm_id const& vm)
    {
        auto const found = told_at_.find(vm);
        if (found != told_at_.end() &&
            context.now_ - found->second >= confirm_time)
        {
            told_at_.erase(found);
            tell(context, vm_hint{vm, false}, node_id{});
        }
    }

    static void tell(duty_context& context, vm_hint const& hint,
                     node_id const& but)
    {
        for (auto const& item : context.fleet_.gateways().all())
        {
            bool const own =
                item.second.data_centre_ == context.settings_.data_centre_;
            if (own && item.first != but)
            {
                context.actions_.emplace_back(
                    send_message{item.first, message{hint}});
            }
        }
    }

    /// When each VM that is held to be leaving was last said to be.
    std::map<vm_id, time_point> told_at_;
};

registrar<controller_duty> const registered{
    "leaving_hints", [](controller_settings const&)
    { return std::make_unique<leaving_hints>(); }};

} // namespace

} // namespace cuminfold
