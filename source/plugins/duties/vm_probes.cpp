#include "kernel/controller/controller_duty.hpp"
#include "kernel/maintenance/proposal_turn.hpp"
#include "kernel/registry.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

/// Consecutive probe failures after which a VM counts as down.
constexpr std::uint32_t failures_until_down = 3;
/// Health records that one controller proposes in one round of probes.
constexpr std::uint32_t max_proposals_per_round = 16;

/// Probes this controller's share of the local data centre's workers and
/// records those that go down or come up again. VMs that a drain reboots are
/// left to the duty `drain_driver`.
class vm_probes : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* result = std::get_if<probe_result>(&event))
        {
            on_probe_result(*result);
        }
        else if (std::holds_alternative<tick>(event) && context.ready_ &&
                 context.now_ >= next_)
        {
            next_ = context.now_ + context.settings_.probe_interval_;
            probe_share(context);
        }
    }

private:
    struct probe_state
    {
        std::uint32_t consecutive_failures_ = 0;
        bool answered_ = false;
    };

    void on_probe_result(probe_result const& result)
    {
        auto const found = states_.find(result.vm_);
        if (found == states_.end())
        {
            return;
        }
        bool const up = result.answered_ && result.healthy_;
        found->second.consecutive_failures_ =
            up ? 0 : found->second.consecutive_failures_ + 1;
        found->second.answered_ = up;
    }

    void probe_share(duty_context& context)
    {
        turn_.forget_idle(context.now_);
        std::map<vm_id, probe_state> kept;
        std::uint32_t proposed = 0;
        for (auto const& item : context.fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.data_centre_ != context.settings_.data_centre_ ||
                vm.phase_ == vm_phase::rebooting ||
                context.rank("probe:" + vm.vm_.text()) != 0)
            {
                continue;
            }
            auto const found = states_.find(vm.vm_);
            probe_state const state =
                found == states_.end() ? probe_state{} : found->second;
            kept[vm.vm_] = state;
            context.actions_.emplace_back(probe_vm{vm.vm_, vm.address_});
            if (proposed < max_proposals_per_round &&
                propose_health(context, vm, state))
            {
                ++proposed;
            }
        }
        states_ = std::move(kept);
    }

    bool propose_health(duty_context& context, vm_entry const& vm,
                        probe_state const& state)
    {
        bool const down =
            !vm.down_ && state.consecutive_failures_ >= failures_until_down;
        bool const up = vm.down_ && state.answered_;
        std::string const entity = "probe:" + vm.vm_.text();
        if ((!down && !up) || !turn_.is_due(context, entity, vm.generation_))
        {
            return false;
        }
        turn_.propose(context, entity, vm_health{vm.vm_, vm.generation_, up});
        return true;
    }

    time_point next_{};
    std::map<vm_id, probe_state> states_;
    proposal_scheduler turn_;
};

registrar<controller_duty> const registered{
    "vm_probes",
    [](controller_settings const&) { return std::make_unique<vm_probes>(); }};

} // namespace

} // namespace cuminfold
