#include "kernel/cell/ticket_cache.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Delay of the next query about a step after a query without an answer.
constexpr duration failure_pause = std::chrono::milliseconds{200};
/// A ticket that expires within this time is not used, because the start has
/// to be stored and sent first.
constexpr duration start_margin = std::chrono::milliseconds{150};

} // namespace

ticket_cache::worker_entry const*
ticket_cache::find(step_id const& step, std::string const& worker) const
{
    auto const place = steps_.find(step);
    if (place == steps_.end())
    {
        return nullptr;
    }
    auto const found = place->second.workers_.find(worker);
    return found == place->second.workers_.end() ? nullptr : &found->second;
}

ticket_status ticket_cache::status(step_id const& step,
                                   std::string const& worker,
                                   time_point now) const
{
    auto const* const entry = find(step, worker);
    if (entry == nullptr)
    {
        return ticket_status::unknown;
    }
    if (entry->decided_ && !entry->allowed_)
    {
        return ticket_status::denied;
    }
    if (entry->decided_ && now + start_margin < entry->expires_at_)
    {
        return ticket_status::allowed;
    }
    return entry->requested_ ? ticket_status::requested
           : entry->decided_ ? ticket_status::expired
                             : ticket_status::unknown;
}

std::string ticket_cache::ticket(step_id const& step, std::string const& worker,
                                 time_point now) const
{
    auto const* const entry = find(step, worker);
    return entry != nullptr && entry->allowed_ && now < entry->expires_at_
               ? entry->ticket_
               : std::string();
}

bool ticket_cache::can_query(step_id const& step, time_point now) const
{
    auto const place = steps_.find(step);
    bool const step_in_flight =
        place != steps_.end() && place->second.in_flight_;
    return in_flight_ < max_in_flight && !step_in_flight && !paused(step, now);
}

bool ticket_cache::paused(step_id const& step, time_point now) const
{
    auto const place = steps_.find(step);
    return place != steps_.end() && now < place->second.not_before_;
}

void ticket_cache::requested(step_id const& step,
                             std::vector<std::string> const& workers)
{
    auto& at_step = steps_[step];
    at_step.in_flight_ = true;
    ++in_flight_;
    for (auto const& worker : workers)
    {
        at_step.workers_[worker].requested_ = true;
    }
}

void ticket_cache::answered(step_id const& step,
                            std::vector<std::string> const& workers,
                            std::vector<issued_ticket> const& allowed,
                            duration validity, time_point sent)
{
    --in_flight_;
    auto const place = steps_.find(step);
    if (place == steps_.end())
    {
        return;
    }
    place->second.in_flight_ = false;
    for (auto const& worker : workers)
    {
        auto const known = place->second.workers_.find(worker);
        if (known == place->second.workers_.end())
        {
            continue;
        }
        auto& entry = known->second;
        entry.requested_ = false;
        auto const found = std::find_if(allowed.begin(), allowed.end(),
                                        [&](issued_ticket const& each)
                                        { return each.worker_ == worker; });
        entry.decided_ = true;
        entry.allowed_ = found != allowed.end();
        entry.ticket_ = entry.allowed_ ? found->ticket_ : std::string();
        entry.expires_at_ = sent + validity;
    }
}

void ticket_cache::failed(step_id const& step,
                          std::vector<std::string> const& workers,
                          time_point now)
{
    --in_flight_;
    auto const place = steps_.find(step);
    if (place == steps_.end())
    {
        return;
    }
    place->second.in_flight_ = false;
    place->second.not_before_ = now + failure_pause;
    for (auto const& worker : workers)
    {
        auto const known = place->second.workers_.find(worker);
        if (known != place->second.workers_.end())
        {
            known->second.requested_ = false;
        }
    }
}

void ticket_cache::refused(step_id const& step, std::string const& worker)
{
    auto const place = steps_.find(step);
    if (place != steps_.end())
    {
        place->second.workers_[worker].expires_at_ = {};
    }
}

void ticket_cache::erase_worker(std::string const& worker)
{
    for (auto& step : steps_)
    {
        step.second.workers_.erase(worker);
    }
}

void ticket_cache::erase_job(job_id const& job)
{
    auto const first = steps_.lower_bound({job, 0, 0});
    auto last = first;
    while (last != steps_.end() && last->first.job_ == job)
    {
        ++last;
    }
    steps_.erase(first, last);
}

} // namespace cuminfold
