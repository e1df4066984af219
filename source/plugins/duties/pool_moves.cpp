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

/// Moves VMs of the own data centre into pools that lack some: as few as the
/// pools' sizes and needs ask for, and only when the lack lasts.
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
                carry_on(context, balance, vm);
            }
        }
        for (auto const& item : context.config_.current()->pools_)
        {
            fill(context, balance, item.second);
        }
    }

private:
    /// Ends a release: by the assignment, or by taking it back.
    void carry_on(duty_context& context, pool_balance const& balance,
                  vm_entry const& vm)
    {
        std::string const entity = "move:" + vm.vm_.text();
        bool const unwanted = is_unwanted(context, balance, vm);
        bool const complete =
            vm.tasks_.empty() &&
            context.fleet_.missing_acknowledgements(vm).empty();
        if ((!unwanted && !complete) ||
            !turn_.due(context, entity, vm.generation_))
        {
            return;
        }
        if (unwanted)
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

    /// Whether the target no longer wants the VM, or its own pool lacks it.
    static bool is_unwanted(duty_context& context, pool_balance const& balance,
                            vm_entry const& vm)
    {
        intended_state const& intended = *context.config_.current();
        auto const target = intended.pools_.find(vm.target_);
        if (vm.down_ || target == intended.pools_.end())
        {
            return true;
        }
        bool const own_short =
            !meets_need(context.fleet_.vms(), intended, vm.pool_);
        bool const target_over =
            balance.surplus(target->second, vm.data_centre_) != 0 &&
            extra_for_wave(context, target->second,
                           spares_missing(context.fleet_.vms(), intended,
                                          vm.target_)) == 0 &&
            is_above_need(balance, intended, vm.target_);
        return own_short || (target_over && !target->second.spare_);
    }

    /// Whether the pool meets its need by its VMs that are up, one too many.
    static bool is_above_need(pool_balance const& balance,
                              intended_state const& intended,
                              pool_name const& pool)
    {
        auto const budget = intended.budgets_.find(pool);
        pool_status const& status = balance.status(pool);
        return budget == intended.budgets_.end() ||
               status.members_ - status.down_ > budget->second.need_;
    }

    /// The VMs that are missing for a drain, if a wave waits for them.
    static std::uint32_t extra_for_wave(duty_context& context,
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
            if (waits_for_spare(context, item.second, pool))
            {
                return missing;
            }
        }
        return 0;
    }

    static bool waits_for_spare(duty_context& context, wave_spec const& wave,
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
                                      wave_may_stop(*context.config_.current(),
                                                    wave, vm, context.wall_);
                           });
    }

    /// Releases one VM for the pool if it lacks one for long enough.
    void fill(duty_context& context, pool_balance const& balance,
              pool_spec const& pool)
    {
        auto const& home = context.settings_.data_centre_;
        pool_status const& status = balance.status(pool.name_);
        std::uint32_t const extra = extra_for_wave(
            context, pool, balance.missing_for_drain(pool.name_));
        if (pool.spare_ || balance.lack(pool, home, extra) == 0 ||
            (pool.spread_.empty() && balance.giver(pool.name_) != home))
        {
            lacking_since_.erase(pool.name_);
            return;
        }
        auto const since =
            lacking_since_.emplace(pool.name_, context.now_).first->second;
        std::string const entity = "balance:" + pool.name_.text();
        // A move that folded changes this, so that the next is a new turn.
        generation const relied_on =
            status.members_ * 2ULL * 1'000'000ULL + status.coming_;
        if (context.now_ - since < context.settings_.move_delay_ ||
            !turn_.due(context, entity, relied_on))
        {
            return;
        }
        vm_entry const* vm = balance.source_for(pool.name_, home);
        if (vm != nullptr)
        {
            turn_.propose(context, entity,
                          move_released{vm->vm_, vm->generation_, pool.name_,
                                        extra != 0 ? "a wave needs a spare VM"
                                                   : "pool lacks it"});
        }
    }

    time_point next_{};
    std::map<pool_name, time_point> lacking_since_;
    proposal_turn turn_;
};

registrar<controller_duty> const registered{
    "pool_moves",
    [](controller_settings const&) { return std::make_unique<pool_moves>(); }};

} // namespace

} // namespace cuminfold
