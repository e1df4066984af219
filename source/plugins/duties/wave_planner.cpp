#include "kernel/controller/controller_duty.hpp"
#include "kernel/maintenance/proposal_turn.hpp"
#include "kernel/maintenance/wave_progress.hpp"
#include "kernel/registry.hpp"

#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

/// Proposes the drains of the active waves for VMs of the local data centre,
/// and stops a wave whose VMs do not return.
class wave_planner : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (!std::holds_alternative<tick>(event) || !context.ready_ ||
            context.now_ < next_)
        {
            return;
        }
        next_ = context.now_ + context.settings_.rank_step_;
        turn_.forget_idle(context.now_);
        for (auto const& item : context.config_.current()->waves_)
        {
            if (context.fleet_.data().stopped_waves_.count(item.first) == 0)
            {
                plan(context, item.second);
            }
        }
    }

private:
    void plan(duty_context& context, wave_spec const& wave)
    {
        wave_view const view =
            make_wave_view(context.fleet_, *context.config_.current(), wave,
                           context.settings_.data_centre_, context.wall_);
        if (wave_must_stop(view))
        {
            stop(context, wave);
            return;
        }
        for (vm_id const& id : strategy(wave.strategy_).propose(view))
        {
            vm_entry const& vm = *context.fleet_.vms().find(id);
            std::string const entity = "grant:" + id.text();
            if (turn_.is_due(context, entity, vm.generation_))
            {
                turn_.propose(context, entity,
                              drain_granted{id, vm.generation_, wave.name_});
            }
        }
    }

    void stop(duty_context& context, wave_spec const& wave)
    {
        std::string const entity = "stop:" + wave.name_.text();
        if (turn_.is_due(context, entity, 0))
        {
            context.actions_.emplace_back(count_reason{reason::wave_stopped});
            turn_.propose(context, entity,
                          wave_stopped{wave.name_, reason::vm_not_back});
        }
    }

    /// Returns the strategy of that name. Falls back to the default one if this
    /// program does not have it, since every controller must keep working with
    /// the same configuration files.
    wave_strategy const& strategy(std::string const& name)
    {
        auto& instance = strategies_[name];
        if (!instance)
        {
            auto const& table = registry<wave_strategy>::instance();
            try
            {
                instance = table.find(name)();
            }
            catch (unknown_strategy const&)
            {
                instance = table.find(wave_spec{}.strategy_)();
            }
        }
        return *instance;
    }

    time_point next_{};
    std::map<std::string, std::unique_ptr<wave_strategy>> strategies_;
    proposal_scheduler turn_;
};

registrar<controller_duty> const registered{
    "wave_planner", [](controller_settings const&)
    { return std::make_unique<wave_planner>(); }};

} // namespace

} // namespace cuminfold
