#include "kernel/cell/advice_line.hpp"

#include <algorithm>
#include <numeric>

namespace cuminfold
{

namespace
{

/// Workers in one query: the platform counts one query of this size for each
/// step.
constexpr std::size_t workers_per_query = 30;
constexpr duration max_start_margin = std::chrono::milliseconds{150};
/// The service rejects queries while this many of one caller wait.
constexpr std::size_t max_queued = 32;
/// A step keeps its turn for this long, and for the time of one answer.
constexpr duration turn_time = std::chrono::milliseconds{500};

} // namespace

duration ticket_start_margin(advice_policy const& policy)
{
    return std::min(max_start_margin, policy.validity_ / 2);
}

std::size_t max_queried_workers(advice_policy const& policy)
{
    auto const left =
        policy.validity_ - ticket_start_margin(policy) - policy.decision_time_;
    if (policy.time_per_worker_ <= duration{0})
    {
        return workers_per_query;
    }
    auto const fit = std::clamp<std::int64_t>(
        (left - duration{1}) / policy.time_per_worker_, 1, workers_per_query);
    return static_cast<std::size_t>(fit);
}

duration max_line_time(advice_policy const& policy)
{
    return policy.answer_time(workers_per_query) *
           static_cast<std::int64_t>(advice_line::max_in_flight);
}

bool advice_line::admit(step_id const& step, advice_policy const& policy,
                        std::size_t workers, time_point now)
{
    bool const is_turn_of_other =
        next_ && !(next_->step_ == step) && now < next_->expires_at_;
    if (is_turn_of_other)
    {
        return false;
    }
    auto const answered_after = expected_wait() + policy.answer_time(workers);
    bool const is_in_time =
        answered_after + ticket_start_margin(policy) < policy.validity_;
    bool const has_room =
        in_flight_ == 0 || (in_flight_ < max_in_flight && is_in_time);
    if (has_room)
    {
        next_.reset();
        return true;
    }
    duration longest{0};
    for (auto const& each : queries_)
    {
        longest = std::max(longest, each.answer_time_);
    }
    next_ = turn{step, now + longest + turn_time};
    return false;
}

std::uint64_t advice_line::add(duration answer_time)
{
    queries_.push_back({++last_number_, answer_time});
    ++in_flight_;
    return last_number_;
}

time_point advice_line::answered(std::uint64_t number, time_point sent,
                                 time_point now)
{
    --in_flight_;
    erase(number);
    if (number < newest_answered_)
    {
        // Its answer was overtaken by the one to a later query.
        return sent;
    }
    auto const earliest_begin = std::max(sent, newest_answer_at_);
    newest_answered_ = number;
    newest_answer_at_ = now;
    while (!queries_.empty() && queries_.front().number_ < number)
    {
        queries_.pop_front();
    }
    return earliest_begin;
}

void advice_line::failed(std::uint64_t number, bool is_queued)
{
    --in_flight_;
    if (!is_queued)
    {
        erase(number);
        return;
    }
    std::size_t abandoned = 0;
    auto oldest = queries_.end();
    for (auto each = queries_.begin(); each != queries_.end(); ++each)
    {
        each->in_flight_ = each->in_flight_ && each->number_ != number;
        if (!each->in_flight_)
        {
            ++abandoned;
            oldest = oldest == queries_.end() ? each : oldest;
        }
    }
    if (abandoned > max_queued)
    {
        queries_.erase(oldest);
    }
}

void advice_line::erase_job(job_id const& job)
{
    if (next_ && next_->step_.job_ == job)
    {
        next_.reset();
    }
}

duration advice_line::expected_wait() const
{
    return std::accumulate(queries_.begin(), queries_.end(), duration{0},
                           [](duration sum, query const& each)
                           { return sum + each.answer_time_; });
}

void advice_line::erase(std::uint64_t number)
{
    queries_.erase(std::remove_if(queries_.begin(), queries_.end(),
                                  [number](query const& each)
                                  { return each.number_ == number; }),
                   queries_.end());
}

} // namespace cuminfold
