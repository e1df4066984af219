#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/registry.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <variant>

namespace cuminfold
{

namespace
{

/// Follows the platform's list of VMs and records those of the own data
/// centre that appear or are gone.
class vm_intake : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (std::holds_alternative<vm_list>(event))
        {
            asked_at_.reset();
        }
        if (!std::holds_alternative<tick>(event))
        {
            return;
        }
        ask(context);
        if (!context.ready_ || context.rank("vm-intake") != 0)
        {
            return;
        }
        for (auto const& listed : context.list_.vms_)
        {
            if (listed.data_centre_ == context.settings_.data_centre_ &&
                !listed.entry_)
            {
                record(context, listed);
            }
        }
    }

private:
    void ask(duty_context& context)
    {
        auto const& interval = context.settings_.list_interval_;
        if (!asked_at_ || context.now_ - *asked_at_ >= 3 * interval)
        {
            if (context.now_ - last_ask_ >= interval)
            {
                asked_at_ = context.now_;
                last_ask_ = context.now_;
                context.actions_.emplace_back(list_vms{});
            }
        }
    }

    void record(duty_context& context, listed_vm const& listed)
    {
        vm_entry const* known = context.fleet_.vms().find(listed.vm_);
        bool const gone = listed.state_ == listed_state::gone;
        if ((known == nullptr) == gone ||
            guard_.waits(context.fleet_writer_, listed.vm_.text()))
        {
            return;
        }
        record_id const id =
            gone ? context.propose(vm_removed{listed.vm_, known->generation_})
                 : context.propose(vm_added{listed.vm_, listed.address_,
                                            listed.data_centre_, listed.rack_,
                                            listed.shape_});
        guard_.proposed(listed.vm_.text(), id);
    }

    std::optional<time_point> asked_at_;
    time_point last_ask_{-std::chrono::hours{1}};
    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "vm_intake",
    [](controller_settings const&) { return std::make_unique<vm_intake>(); }};

} // namespace

} // namespace cuminfold
