#include "kernel/fleet/job_table.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

template <class Key>
void count_in(std::map<Key, std::uint32_t>& counts, Key const& key, int sign)
{
    auto& held = counts[key];
    held += static_cast<std::uint32_t>(sign);
    if (held == 0)
    {
        counts.erase(key);
    }
}

template <class Key, class Value>
void index_in(std::map<Key, std::set<Value>>& sets, Key const& key,
              Value const& value, int sign)
{
    if (sign > 0)
    {
        sets[key].insert(value);
        return;
    }
    auto const found = sets.find(key);
    found->second.erase(value);
    if (found->second.empty())
    {
        sets.erase(found);
    }
}

template <class Key, class Value>
std::set<Value> const& find_in(std::map<Key, std::set<Value>> const& sets,
                               Key const& key)
{
    static std::set<Value> const none;
    auto const found = sets.find(key);
    return found == sets.end() ? none : found->second;
}

} // namespace

job_entry const* job_table::find(job_id const& job) const
{
    auto const found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::uint32_t job_table::slots_held(team_name const& team) const
{
    auto const found = slots_held_.find(team);
    return found == slots_held_.end() ? 0 : found->second;
}

std::set<waiting_key> const&
job_table::waiting(data_centre_name const& home) const
{
    return find_in(waiting_, home);
}

std::set<job_id> const& job_table::placed(data_centre_name const& home) const
{
    return find_in(placed_, home);
}

bool job_table::any_team_below_quota(
    std::map<team_name, std::uint32_t> const& slots) const
{
    for (auto const& item : waiting_by_team_)
    {
        auto const quota = slots.find(item.first);
        if (quota != slots.end() && slots_held(item.first) < quota->second)
        {
            return true;
        }
    }
    return false;
}

bool job_table::add(job_entry entry)
{
    job_id const job = entry.job_;
    auto const [place, inserted] = jobs_.emplace(job, std::move(entry));
    if (inserted)
    {
        update_indexes(place->second, +1);
    }
    return inserted;
}

void job_table::forget(log_offset up_to)
{
    for (auto place = jobs_.begin(); place != jobs_.end();)
    {
        job_entry const& entry = place->second;
        bool const old = entry.last_offset_ <= up_to;
        place =
            is_end(entry.phase_) && old ? jobs_.erase(place) : std::next(place);
    }
}

void job_table::restore(std::map<job_id, job_entry> jobs)
{
    jobs_ = std::move(jobs);
    waiting_.clear();
    placed_.clear();
    waiting_by_team_.clear();
    slots_held_.clear();
    for (auto const& item : jobs_)
    {
        update_indexes(item.second, +1);
    }
}

void job_table::update_indexes(job_entry const& entry, int sign)
{
    team_name const& team = entry.request_.team_;
    if (entry.phase_ == job_phase::waiting)
    {
        waiting_key const key{!entry.request_.urgent_, entry.last_offset_,
                              entry.job_};
        index_in(waiting_, entry.home_, key, sign);
        count_in(waiting_by_team_, team, sign);
    }
    if (entry.phase_ == job_phase::placed)
    {
        index_in(placed_, entry.home_, entry.job_, sign);
        count_in(slots_held_, team, sign);
    }
}

} // namespace cuminfold
