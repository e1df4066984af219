#include "kernel/controller/controller_duty.hpp"
#include "kernel/fleet/budget.hpp"
#include "kernel/maintenance/pool_balance.hpp"
#include "kernel/maintenance/proposal_turn.hpp"
#include "kernel/maintenance/wave_progress.hpp"
#include "kernel/maintenance/window.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

/// Moves VMs of the local data centre into pools that are short of VMs: as few
/// as the sizes and needs of the pools require, and only after the shortage has
/// lasted for the configured delay.
class pool_moves : public controller_duty
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
        pool_balance const balance(context.fleet_, *context.config_.current());
        for (auto const& item : context.fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.phase_ == vm_phase::releasing &&
                vm.data_centre_ == context.settings_.data_centre_)
            {
                finish_release(context, balance, vm);
            }
        }
        for (auto const& item : context.config_.current()->pools_)
        {
            release_vm_for(context, balance, item.second);
        }
    }

private:
    /// Assigns a releasing VM to its target pool once it is free, or cancels
    /// the move.
    void finish_release(duty_context& context, pool_balance const& balance,
                        vm_entry const& vm)
    {
        std::string const entity = "move:" + vm.vm_.text();
        bool const cancel = must_cancel(context, balance, vm);
        bool const complete =
            vm.tasks_.empty() &&
            context.fleet_.missing_acknowledgements(vm).empty();
        if ((!cancel && !complete) ||
            !turn_.is_due(context, entity, vm.generation_))
        {
            return;
        }
        if (cancel)
        {
            turn_.propose(context, entity,
                          move_cancelled{vm.vm_, vm.generation_});
        }
        else
        {
            turn_.propose(context, entity,
                          move_assigned{vm.vm_, vm.generation_});
        }
    }

    /// Returns true if the VM is down, its target pool is gone or no longer
    /// needs it, or its current pool is below its need.
    static bool must_cancel(duty_context& context, pool_balance const& balance,
                            vm_entry const& vm)
    {
        intended_state const& intended = *context.config_.current();
        auto const target = intended.pools_.find(vm.target_);
        if (vm.down_ || target == intended.pools_.end())
        {
            return true;
        }
        bool const source_short =
            !is_need_met(context.fleet_.vms(), intended, vm.pool_);
        bool const target_satisfied =
            balance.surplus(target->second, vm.data_centre_) != 0 &&
            vms_for_wave(context, target->second,
                         drain_shortfall(context.fleet_.vms(), intended,
                                         vm.target_)) == 0 &&
            is_above_need(balance, intended, vm.target_);
        return source_short || (target_satisfied && !target->second.spare_);
    }

    /// Returns true if the pool has more VMs that are up than it needs, or no
    /// budget.
    static bool is_above_need(pool_balance const& balance,
                              intended_state const& intended,
                              pool_name const& pool)
    {
        auto const budget = intended.budgets_.find(pool);
        pool_status const& status = balance.status(pool);
        return budget == intended.budgets_.end() ||
               status.members_ - status.down_ > budget->second.need_;
    }

    /// Returns `missing`, the VMs that the pool lacks for a drain, if a wave
    /// waits for them, else 0.
    static std::uint32_t vms_for_wave(duty_context& context,
                                      pool_spec const& pool,
                                      std::uint32_t missing)
    {
        if (missing == 0)
        {
            return 0;
        }
        intended_state const& intended = *context.config_.current();
        for (auto const& item : intended.waves_)
        {
            if (needs_spare(context, item.second, pool))
            {
                return missing;
            }
        }
        return 0;
    }

    static bool needs_spare(duty_context& context, wave_spec const& wave,
                            pool_spec const& pool)
    {
        if (context.fleet_.data().stopped_waves_.count(wave.name_) != 0)
        {
            return false;
        }
        auto const& vms = context.fleet_.vms().all();
        return std::any_of(vms.begin(), vms.end(),
                           [&](auto const& item)
                           {
                               vm_entry const& vm = item.second;
                               return vm.pool_ == pool.name_ &&
                                      wave_covers(wave, vm) &&
                                      vm.maintained_.count(wave.name_) == 0 &&
                                      wave_may_drain(*context.config_.current(),
                                                     wave, vm, context.wall_);
                           });
    }

    /// Releases one VM for the pool once its shortage has lasted for the move
    /// delay.
    void release_vm_for(duty_context& context, pool_balance const& balance,
                        pool_spec const& pool)
    {
        auto const& home = context.settings_.data_centre_;
        pool_status const& status = balance.status(pool.name_);
        std::uint32_t const spares_needed =
            vms_for_wave(context, pool, balance.drain_shortfall(pool.name_));
        if (pool.spare_ || balance.shortage(pool, home, spares_needed) == 0 ||
            (pool.spread_.empty() &&
             balance.source_data_centre(pool.name_) != home))
        {
            short_since_.erase(pool.name_);
            return;
        }
        auto const since =
            short_since_.emplace(pool.name_, context.now_).first->second;
        std::string const entity = "balance:" + pool.name_.text();
        // Each folded move changes this value, so the next move starts a new
        // turn.
        generation const relied_on =
            status.members_ * 2ULL * 1'000'000ULL + status.incoming_;
        if (context.now_ - since < context.settings_.move_delay_ ||
            !turn_.is_due(context, entity, relied_on))
        {
            return;
        }
        vm_entry const* vm = balance.source_vm(pool.name_, home);
        if (vm != nullptr)
        {
            turn_.propose(context, entity,
                          move_released{vm->vm_, vm->generation_, pool.name_,
                                        spares_needed != 0
                                            ? "a wave needs a spare VM"
                                            : "pool lacks it"});
        }
    }

    time_point next_{};
    std::map<pool_name, time_point> short_since_;
    proposal_scheduler turn_;
};

registrar<controller_duty> const registered{
    "pool_moves",
    [](controller_settings const&) { return std::make_unique<pool_moves>(); }};

} // namespace

} // namespace cuminfold
