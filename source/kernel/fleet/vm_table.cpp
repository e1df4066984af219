#include "kernel/fleet/vm_table.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

void add_to(std::uint32_t& value, int sign)
{
    value += static_cast<std::uint32_t>(sign);
}

template <class Map, class Key>
void add_to_key(Map& counts, Key const& key, int sign)
{
    auto& value = counts[key];
    add_to(value, sign);
    if (value == 0)
    {
        counts.erase(key);
    }
}

} // namespace

vm_entry const* vm_table::find(vm_id const& vm) const
{
    auto const found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

pool_usage const& vm_table::usage(pool_name const& pool) const
{
    static pool_usage const none;
    auto const found = usages_.find(pool);
    return found == usages_.end() ? none : found->second;
}

bool vm_table::add(vm_entry entry)
{
    vm_id const vm = entry.vm_;
    auto const [place, inserted] = vms_.emplace(vm, std::move(entry));
    if (inserted)
    {
        update_usage(place->second, +1);
    }
    return inserted;
}

void vm_table::remove(vm_id const& vm)
{
    auto const found = vms_.find(vm);
    if (found != vms_.end())
    {
        update_usage(found->second, -1);
        vms_.erase(found);
    }
}

void vm_table::set_reachable(data_centre_name const& data_centre,
                             bool reachable)
{
    for (auto const& item : vms_)
    {
        if (item.second.data_centre_ == data_centre)
        {
            update_usage(item.second, -1);
        }
    }
    if (reachable)
    {
        unreachable_.erase(data_centre);
    }
    else
    {
        unreachable_.insert(data_centre);
    }
    for (auto const& item : vms_)
    {
        if (item.second.data_centre_ == data_centre)
        {
            update_usage(item.second, +1);
        }
    }
}

void vm_table::restore(std::map<vm_id, vm_entry> vms,
                       std::set<data_centre_name> unreachable)
{
    vms_ = std::move(vms);
    unreachable_ = std::move(unreachable);
    usages_.clear();
    for (auto const& item : vms_)
    {
        update_usage(item.second, +1);
    }
}

bool vm_table::is_available(vm_entry const& entry) const
{
    return entry.phase_ == vm_phase::serving && !entry.down_ &&
           unreachable_.count(entry.data_centre_) == 0;
}

void vm_table::update_usage(vm_entry const& entry, int sign)
{
    if (entry.pool_.empty())
    {
        return;
    }
    auto& usage = usages_[entry.pool_];
    add_to(usage.members_, sign);
    add_to_key(usage.members_by_data_centre_, entry.data_centre_, sign);
    if (entry.phase_ != vm_phase::serving)
    {
        add_to(usage.leaving_, sign);
    }
    if (is_available(entry))
    {
        add_to(usage.available_, sign);
        rack_key const rack{entry.data_centre_, entry.rack_};
        add_to_key(usage.available_by_rack_, rack, sign);
    }
    if (usage.members_ == 0)
    {
        usages_.erase(entry.pool_);
    }
}

} // namespace cuminfold
