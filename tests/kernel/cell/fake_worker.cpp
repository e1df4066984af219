#include "kernel/cell/fake_worker.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr double clock_rate = 0.98;
/// Start value of the worker's clock, which differs from the owner's.
constexpr worker_clock clock_start{500'000};

} // namespace

fake_worker::fake_worker(worker_registration entry, time_point now)
    : entry_(std::move(entry)), created_(now)
{
}

worker_clock fake_worker::clock(time_point now) const
{
    return clock_start + std::chrono::duration_cast<worker_clock>(
                             (now - created_) * clock_rate);
}

void fake_worker::extend(worker_clock until, time_point now)
{
    lease_ = std::max(lease_, std::min(until, clock(now) + max_lease_));
}

void fake_worker::end(task_id const& task, run_end how)
{
    auto const found = running_.find(task);
    auto const number = found->second.number_;
    running_.erase(found);
    auto& highest = ended_runs_[task];
    highest = std::max(highest, number);
    ends_.push_back({next_end_++, task, number, how, ""});
}

void fake_worker::advance(time_point now)
{
    std::vector<std::pair<task_id, run_end>> ended_now;
    for (auto const& item : running_)
    {
        if (clock(now) >= lease_)
        {
            ended_now.emplace_back(item.first, run_end::lapsed);
        }
        else if (now >= item.second.stops_)
        {
            ended_now.emplace_back(item.first, run_end::stopped);
        }
        else if (now >= item.second.ends_)
        {
            ended_now.emplace_back(item.first, item.second.fails_
                                                   ? run_end::failed
                                                   : run_end::done);
        }
    }
    for (auto const& item : ended_now)
    {
        end(item.first, item.second);
    }
}

call_outcome fake_worker::start(std::uint64_t token, start_run const& order,
                                run planned, time_point now)
{
    advance(now);
    if (token < token_)
    {
        return call_outcome::fenced;
    }
    token_ = token;
    if (order.lease_until_ <= clock(now))
    {
        return call_outcome::too_late;
    }
    extend(order.lease_until_, now);
    auto const ended = ended_runs_.find(order.task_);
    if (ended != ended_runs_.end() && order.run_ <= ended->second)
    {
        return call_outcome::run_too_old;
    }
    planned.number_ = order.run_;
    running_.emplace(order.task_, planned);
    return call_outcome::accepted;
}

call_outcome fake_worker::stop(std::uint64_t token, task_id const& task,
                               std::uint32_t number, time_point now)
{
    advance(now);
    if (token < token_)
    {
        return call_outcome::fenced;
    }
    token_ = token;
    auto const found = running_.find(task);
    if (found != running_.end() && found->second.number_ <= number &&
        stop_time_ > duration{0})
    {
        found->second.stops_ = std::min(found->second.stops_, now + stop_time_);
    }
    else if (found != running_.end() && found->second.number_ <= number)
    {
        end(task, run_end::stopped);
    }
    auto& highest = ended_runs_[task];
    highest = std::max(highest, number);
    return call_outcome::accepted;
}

call_outcome fake_worker::renew(std::uint64_t token, renew_worker const& order,
                                worker_report& report, time_point now)
{
    advance(now);
    if (token < token_)
    {
        return call_outcome::fenced;
    }
    token_ = token;
    if (clock(now) >= lease_ && !ends_.empty())
    {
        last_lapsed_end_ = ends_.back().number_;
    }
    if (order.lease_until_)
    {
        extend(*order.lease_until_, now);
    }
    for (auto const& each : ends_)
    {
        if (each.number_ <= order.acknowledge_ &&
            each.number_ > last_lapsed_end_)
        {
            acknowledged_ends_.push_back(each);
        }
    }
    ends_.erase(std::remove_if(ends_.begin(), ends_.end(),
                               [&](end_report const& end)
                               { return end.number_ <= order.acknowledge_; }),
                ends_.end());
    report.clock_ = clock(now);
    report.incarnation_start_ = entry_.incarnation_start_;
    for (auto const& item : running_)
    {
        constexpr std::uint32_t working_percent = 100;
        report.running_.push_back(
            {item.first, item.second.number_, "", working_percent});
    }
    report.ended_ = ends_;
    return call_outcome::accepted;
}

} // namespace cuminfold
