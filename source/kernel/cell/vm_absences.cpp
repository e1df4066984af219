#include "kernel/cell/vm_absences.hpp"

#include <iterator>

namespace cuminfold
{

vm_absences::vm_absences(duration min_time) : min_time_(min_time) {}

void vm_absences::watch(vm_id const& vm, time_point now)
{
    entry watched;
    watched.watched_since_ = now;
    entries_[vm] = watched;
}

void vm_absences::retain(std::function<bool(vm_id const&)> const& is_wanted)
{
    for (auto place = entries_.begin(); place != entries_.end();)
    {
        place =
            is_wanted(place->first) ? std::next(place) : entries_.erase(place);
    }
}

void vm_absences::listed(std::map<vm_id, listed_vm> const& vms,
                         bool is_complete, time_point requested_at)
{
    for (auto& item : entries_)
    {
        auto& watched = item.second;
        if (vms.count(item.first) != 0)
        {
            watched.first_missed_ = {};
            watched.last_missed_ = {};
            continue;
        }
        if (!is_complete || requested_at < watched.watched_since_)
        {
            continue;
        }
        if (watched.first_missed_ == time_point{})
        {
            watched.first_missed_ = requested_at;
        }
        watched.last_missed_ = requested_at;
    }
}

bool vm_absences::is_gone(vm_id const& vm) const
{
    auto const found = entries_.find(vm);
    return found != entries_.end() &&
           found->second.first_missed_ != time_point{} &&
           found->second.last_missed_ - found->second.first_missed_ >=
               min_time_;
}

} // namespace cuminfold
