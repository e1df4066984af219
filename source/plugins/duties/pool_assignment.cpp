#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/registry.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

/// VMs that a pool wants in one data centre.
std::uint32_t wanted_in(pool_spec const& pool,
                        data_centre_name const& data_centre,
                        std::uint32_t data_centres)
{
    auto const found = pool.spread_.find(data_centre);
    if (found != pool.spread_.end())
    {
        return found->second;
    }
    if (!pool.spread_.empty())
    {
        return 0;
    }
    return (pool.size_ + data_centres - 1) / data_centres;
}

/// Puts VMs that are in no pool into the pool of the own data centre that
/// lacks most; into the spare pool when none lacks any.
class pool_assignment : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (!std::holds_alternative<tick>(event) || !context.ready_ ||
            context.rank("pool-assignment") != 0)
        {
            return;
        }
        std::map<pool_name, std::uint32_t> members = count(context);
        for (auto const& item : context.fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.phase_ != vm_phase::unassigned ||
                vm.data_centre_ != context.settings_.data_centre_ ||
                guard_.waits(context.fleet_writer_, vm.vm_.text()))
            {
                continue;
            }
            pool_name const pool = choose(context, members);
            if (pool.empty())
            {
                return;
            }
            ++members[pool];
            guard_.proposed(vm.vm_.text(), context.propose(vm_assigned{
                                               vm.vm_, vm.generation_, pool,
                                               "pool lacks it"}));
        }
    }

private:
    static std::map<pool_name, std::uint32_t> count(duty_context& context)
    {
        std::map<pool_name, std::uint32_t> members;
        auto const& home = context.settings_.data_centre_;
        for (auto const& item : context.fleet_.vms().usages())
        {
            auto const& by_centre = item.second.members_by_data_centre_;
            auto const found = by_centre.find(home);
            members[item.first] = found == by_centre.end() ? 0 : found->second;
        }
        return members;
    }

    static std::uint32_t count_data_centres(duty_context& context)
    {
        std::map<data_centre_name, bool> seen;
        for (auto const& listed : context.list_.vms_)
        {
            seen[listed.data_centre_] = true;
        }
        return seen.empty() ? 1 : static_cast<std::uint32_t>(seen.size());
    }

    static pool_name choose(duty_context& context,
                            std::map<pool_name, std::uint32_t>& members)
    {
        pool_name best;
        std::uint32_t most = 0;
        std::uint32_t const centres = count_data_centres(context);
        for (auto const& item : context.config_.current()->pools_)
        {
            pool_spec const& pool = item.second;
            if (pool.spare_ && best.empty())
            {
                best = pool.name_;
            }
            std::uint32_t const wanted =
                wanted_in(pool, context.settings_.data_centre_, centres);
            std::uint32_t const has = members[pool.name_];
            if (wanted > has && wanted - has > most)
            {
                most = wanted - has;
                best = pool.name_;
            }
        }
        return best;
    }

    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "pool_assignment", [](controller_settings const&)
    { return std::make_unique<pool_assignment>(); }};

} // namespace

} // namespace cuminfold
