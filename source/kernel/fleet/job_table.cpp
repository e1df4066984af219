#include "kernel/fleet/job_table.hpp"

#include <utility>

namespace cuminfold
{

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

bool job_table::add(job_entry entry)
{
    job_id const job = entry.job_;
    auto const [place, fresh] = jobs_.emplace(job, std::move(entry));
    if (fresh)
    {
        count(place->second, +1);
    }
    return fresh;
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
    slots_held_.clear();
    for (auto const& item : jobs_)
    {
        count(item.second, +1);
    }
}

void job_table::count(job_entry const& entry, int sign)
{
    if (entry.phase_ == job_phase::waiting)
    {
        if (sign > 0)
        {
            waiting_.insert(entry.job_);
        }
        else
        {
            waiting_.erase(entry.job_);
        }
    }
    if (entry.phase_ == job_phase::placed)
    {
        auto& held = slots_held_[entry.request_.team_];
        held += static_cast<std::uint32_t>(sign);
        if (held == 0)
        {
            slots_held_.erase(entry.request_.team_);
        }
    }
}

} // namespace cuminfold
