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

/// Probes in a row that must fail before a VM counts as down.
constexpr std::uint32_t misses_to_down = 3;
/// Findings of health that one controller has out at once.
constexpr std::uint32_t findings_limit = 16;

/// Probes a share of the own data centre's workers and records those that go
/// down or come up again. Reboots of drains are left to their own duty.
class vm_probes : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* result = std::get_if<probe_result>(&event))
        {
            take(*result);
        }
        else if (std::holds_alternative<tick>(event) && context.ready_ &&
                 context.now_ >= next_)
        {
            next_ = context.now_ + context.settings_.probe_interval_;
            probe_share(context);
        }
    }

private:
    struct finding
    {
        std::uint32_t misses_ = 0;
        bool answered_ = false;
    };

    void take(probe_result const& result)
    {
        auto const found = findings_.find(result.vm_);
        if (found == findings_.end())
        {
            return;
        }
        bool const up = result.answered_ && result.healthy_;
        found->second.misses_ = up ? 0 : found->second.misses_ + 1;
        found->second.answered_ = up;
    }

    void probe_share(duty_context& context)
    {
        turn_.forget_idle(context.now_);
        std::map<vm_id, finding> kept;
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
            auto const found = findings_.find(vm.vm_);
            finding const seen =
                found == findings_.end() ? finding{} : found->second;
            kept[vm.vm_] = seen;
            context.actions_.emplace_back(probe_vm{vm.vm_, vm.address_});
            if (proposed < findings_limit && judge(context, vm, seen))
            {
                ++proposed;
            }
        }
        findings_ = std::move(kept);
    }

    bool judge(duty_context& context, vm_entry const& vm, finding const& seen)
    {
        bool const down = !vm.down_ && seen.misses_ >= misses_to_down;
        bool const up = vm.down_ && seen.answered_;
        std::string const entity = "probe:" + vm.vm_.text();
        if ((!down && !up) || !turn_.due(context, entity, vm.generation_))
        {
            return false;
        }
        turn_.propose(context, entity, vm_health{vm.vm_, vm.generation_, up});
        return true;
    }

    time_point next_{};
    std::map<vm_id, finding> findings_;
    proposal_turn turn_;
};

registrar<controller_duty> const registered{
    "vm_probes",
    [](controller_settings const&) { return std::make_unique<vm_probes>(); }};

} // namespace

} // namespace cuminfold
