#include "kernel/cell/ticket_cache.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// Delay of the next query about a step after a query without an answer or a
/// refused ticket.
constexpr duration failure_pause = std::chrono::milliseconds{200};

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
    if (entry->decided_ && now < entry->usable_until_)
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
    bool const is_in_flight = place != steps_.end() && place->second.in_flight_;
    return !is_in_flight && !paused(step, now);
}

bool ticket_cache::paused(step_id const& step, time_point now) const
{
    auto const place = steps_.find(step);
    return place != steps_.end() && now < place->second.not_before_;
}

bool ticket_cache::delayed(step_id const& step)
{
    return !std::exchange(steps_[step].is_delayed_, true);
}

void ticket_cache::requested(query_advice& query, advice_policy const& policy)
{
    auto& at_step = steps_[query.step_];
    at_step.in_flight_ = true;
    at_step.is_delayed_ = false;
    for (auto const& worker : query.workers_)
    {
        at_step.workers_[worker].requested_ = true;
    }
    query.number_ = line_.add(policy.answer_time(query.workers_.size()));
    query.answer_time_ = std::max(line_.expected_wait(), max_line_time(policy));
}

void ticket_cache::answered(query_advice const& query,
                            std::vector<issued_ticket> const& allowed,
                            advice_policy const& policy, time_point sent,
                            time_point now)
{
    auto const begun = line_.answered(query.number_, sent, now);
    auto const place = steps_.find(query.step_);
    if (place == steps_.end())
    {
        return;
    }
    auto const margin = ticket_start_margin(policy);
    bool const is_usable = now + margin < begun + policy.validity_;
    auto const expires_at = (is_usable ? begun : now) + policy.validity_;
    place->second.in_flight_ = false;
    for (auto const& worker : query.workers_)
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
        entry.expires_at_ = expires_at;
        entry.usable_until_ = expires_at - margin;
    }
}

void ticket_cache::failed(query_advice const& query, bool is_queued,
                          time_point now)
{
    line_.failed(query.number_, is_queued);
    auto const place = steps_.find(query.step_);
    if (place == steps_.end())
    {
        return;
    }
    place->second.in_flight_ = false;
    place->second.not_before_ = now + failure_pause;
    for (auto const& worker : query.workers_)
    {
        auto const known = place->second.workers_.find(worker);
        if (known != place->second.workers_.end())
        {
            known->second.requested_ = false;
        }
    }
}

void ticket_cache::refused(step_id const& step, std::string const& worker,
                           time_point now)
{
    auto const place = steps_.find(step);
    if (place != steps_.end())
    {
        auto& entry = place->second.workers_[worker];
        entry.expires_at_ = {};
        entry.usable_until_ = {};
        place->second.not_before_ = now + failure_pause;
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
    line_.erase_job(job);
}

} // namespace cuminfold
