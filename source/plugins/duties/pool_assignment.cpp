#include "kernel/controller/controller_duty.hpp"
#include "kernel/maintenance/pool_balance.hpp"
#include "kernel/maintenance/proposal_turn.hpp"
#include "kernel/registry.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

/// Assigns VMs of the local data centre that are in no pool to a pool that is
/// short of VMs, else to the spare pool.
class pool_assignment : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (!std::holds_alternative<tick>(event) || !context.ready_)
        {
            return;
        }
        turn_.forget_idle(context.now_);
        std::map<vm_id, pool_name> chosen;
        std::optional<pool_balance> balance;
        for (auto const& item : context.fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.phase_ != vm_phase::unassigned ||
                vm.data_centre_ != context.settings_.data_centre_)
            {
                continue;
            }
            if (!balance)
            {
                balance.emplace(context.fleet_, *context.config_.current());
            }
            pool_name const pool = choose(*balance, vm);
            if (pool.empty())
            {
                continue;
            }
            balance->add_pending_assignment(vm, pool);
            chosen[vm.vm_] = pool;
            propose(context, vm, pool);
        }
        // A choice is kept until it is folded, so that VMs whose proposals
        // wait for their turn do not swap pools.
        chosen_ = std::move(chosen);
    }

private:
    pool_name choose(pool_balance const& balance, vm_entry const& vm) const
    {
        auto const kept = chosen_.find(vm.vm_);
        return kept == chosen_.end() ? balance.pool_for(vm) : kept->second;
    }

    void propose(duty_context& context, vm_entry const& vm,
                 pool_name const& pool)
    {
        std::string const entity = "assign:" + vm.vm_.text();
        if (turn_.is_due(context, entity, vm.generation_))
        {
            turn_.propose(
                context, entity,
                vm_assigned{vm.vm_, vm.generation_, pool, "pool lacks it"});
        }
    }

    std::map<vm_id, pool_name> chosen_;
    proposal_scheduler turn_;
};

registrar<controller_duty> const registered{
    "pool_assignment", [](controller_settings const&)
    { return std::make_unique<pool_assignment>(); }};

} // namespace

} // namespace cuminfold
