#include "kernel/request/forward_table.hpp"

#include <set>
#include <vector>

namespace cuminfold
{

namespace
{

gateway_entry const* draw(std::vector<gateway_entry const*> const& all,
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
    std::vector<gateway_entry const*> able;
    for (auto const& item : fleet.gateways().all())
    {
        gateway_entry const& entry = item.second;
        if (entry.data_centre_ == data_centre && item.first != self &&
            !held(now, entry.address_))
        {
            able.push_back(&entry);
        }
    }
    return draw(able, random);
}

gateway_entry const* forward_table::choose_elsewhere(
    time_point now, fleet_state const& fleet, data_centre_name const& own,
    pool_name const& pool, std::mt19937_64& random) const
{
    std::set<data_centre_name> able_data_centres;
    for (auto const& item : fleet.vms().usage(pool).available_by_rack_)
    {
        if (item.second > 0)
        {
            able_data_centres.insert(item.first.first);
        }
    }
    std::vector<gateway_entry const*> able;
    for (auto const& item : fleet.gateways().all())
    {
        gateway_entry const& entry = item.second;
        if (entry.data_centre_ != own &&
            able_data_centres.count(entry.data_centre_) != 0 &&
            !held(now, entry.address_))
        {
            able.push_back(&entry);
        }
    }
    return draw(able, random);
}

void forward_table::failed(std::string const& address, time_point until)
{
    failed_[address] = until;
}

bool forward_table::held(time_point now, std::string const& address) const
{
    auto const found = failed_.find(address);
    return found != failed_.end() && now < found->second;
}

} // namespace cuminfold
