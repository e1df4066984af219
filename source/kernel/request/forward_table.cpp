#include "kernel/request/forward_table.hpp"

#include <set>
#include <vector>

namespace cuminfold
{

namespace
{

gateway_entry const* pick_random(std::vector<gateway_entry const*> const& all,
                                 std::mt19937_64& random)
{
    return all.empty() ? nullptr : all[random() % all.size()];
}

} // namespace

gateway_entry const* forward_table::choose(time_point now,
                                           fleet_state const& fleet,
                                           node_id const& self,
                                           data_centre_name const& data_centre,
                                           std::mt19937_64& random) const
{
    std::vector<gateway_entry const*> candidates;
    for (auto const& item : fleet.gateways().all())
    {
        gateway_entry const& entry = item.second;
        if (entry.data_centre_ == data_centre && item.first != self &&
            !is_suspended(now, entry.address_))
        {
            candidates.push_back(&entry);
        }
    }
    return pick_random(candidates, random);
}

gateway_entry const* forward_table::choose_elsewhere(
    time_point now, fleet_state const& fleet, data_centre_name const& own,
    pool_name const& pool, std::mt19937_64& random) const
{
    std::set<data_centre_name> usable_data_centres;
    for (auto const& item : fleet.vms().usage(pool).available_by_rack_)
    {
        if (item.second > 0)
        {
            usable_data_centres.insert(item.first.first);
        }
    }
    std::vector<gateway_entry const*> candidates;
    for (auto const& item : fleet.gateways().all())
    {
        gateway_entry const& entry = item.second;
        if (entry.data_centre_ != own &&
            usable_data_centres.count(entry.data_centre_) != 0 &&
            !is_suspended(now, entry.address_))
        {
            candidates.push_back(&entry);
        }
    }
    return pick_random(candidates, random);
}

void forward_table::on_failure(std::string const& address, time_point until)
{
    suspended_until_[address] = until;
}

bool forward_table::is_suspended(time_point now,
                                 std::string const& address) const
{
    auto const found = suspended_until_.find(address);
    return found != suspended_until_.end() && now < found->second;
}

} // namespace cuminfold
