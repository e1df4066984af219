#include "soak/soak_oracle.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// An order may reach a worker this long after it was given: no start is
/// taken after the lease that it carries.
constexpr std::chrono::milliseconds longest_lease{3200};
/// The platform's bounds on starts on a leaving worker, on cancelled tasks and
/// on accepted jobs that are not shown.
constexpr std::chrono::milliseconds drain_bound{2000};
constexpr std::chrono::milliseconds cancel_bound{3000};
constexpr std::chrono::milliseconds visible_bound{3000};

} // namespace

void soak_oracle::breach(std::string const& rule, std::string const& what)
{
    breaches_.push_back(rule + ": " + what);
}

bool soak_oracle::is_done(task_id const& task) const
{
    auto const found = tasks_.find(task);
    return found != tasks_.end() && found->second.ever_done_;
}

bool soak_oracle::is_done(std::string const& job,
                          job_history const& history) const
{
    for (std::uint32_t step = 0; step < (history.two_steps_ ? 2U : 1U); ++step)
    {
        for (std::uint32_t i = 0; i < history.tasks_; ++i)
        {
            if (!is_done({job_id{job}, 0, step, i}))
            {
                return false;
            }
        }
    }
    return true;
}

void soak_oracle::started(std::string const& worker, task_id const& task,
                          std::uint32_t run)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const now = clock::now();
    auto const name =
        describe(task) + " run " + std::to_string(run) + " on " + worker;
    ++starts_;
    auto& history = tasks_[task];
    if (!history.running_.empty())
    {
        breach("TWICE", name + " beside " + history.running_.begin()->worker_);
    }
    history.running_.insert({worker, run});
    if (history.done_noted_)
    {
        breach("TWICE", name + " after its end was acknowledged");
    }
    for (auto& done : history.done_)
    {
        done.second = true;
    }
    auto const job = jobs_.find(task.job_.text());
    if (job == jobs_.end())
    {
        breach("UNASKED", name);
        return;
    }
    if (job->second.rejected_)
    {
        breach("REFUSED", name);
    }
    if (job->second.cancelled_at_ < now - cancel_bound - longest_lease)
    {
        breach("UNASKED", name + " of a cancelled job");
    }
    if (task.step_ > 0)
    {
        for (std::uint32_t i = 0; i < job->second.tasks_; ++i)
        {
            if (!is_done({task.job_, task.occurrence_, task.step_ - 1, i}))
            {
                breach("ORDER", name);
                break;
            }
        }
    }
    auto const leaving = draining_.find(worker);
    if (leaving != draining_.end() &&
        leaving->second < now - drain_bound - longest_lease)
    {
        breach("DRAIN", name);
    }
}

void soak_oracle::ended(std::string const& worker, end_report const& end)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& history = tasks_[end.task_];
    history.running_.erase({worker, end.run_});
    if (end.outcome_ == run_end::done)
    {
        history.done_[{worker, end.run_}] = false;
        history.ever_done_ = true;
    }
}

void soak_oracle::end_acknowledged(std::string const& worker,
                                   end_report const& end)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (end.outcome_ != run_end::done)
    {
        return;
    }
    auto& history = tasks_[end.task_];
    history.done_noted_ = true;
    auto const done = history.done_.find({worker, end.run_});
    if (done != history.done_.end() && done->second)
    {
        breach("TWICE", describe(end.task_) +
                            " began again before its end on " + worker +
                            " was acknowledged");
    }
}

void soak_oracle::crashed(std::string const& worker)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    draining_.erase(worker);
    for (auto& item : tasks_)
    {
        auto& history = item.second;
        for (auto place = history.running_.begin();
             place != history.running_.end();)
        {
            place = place->worker_ == worker ? history.running_.erase(place)
                                             : std::next(place);
        }
        for (auto place = history.done_.begin(); place != history.done_.end();)
        {
            place = place->first.worker_ == worker ? history.done_.erase(place)
                                                   : std::next(place);
        }
    }
}

void soak_oracle::draining(std::string const& worker)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    draining_[worker] = clock::now();
}

void soak_oracle::asked(std::string const& job, std::uint32_t tasks,
                        bool two_steps, bool lasting)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& history = jobs_[job];
    history.tasks_ = tasks;
    history.two_steps_ = two_steps;
    history.long_running_ = lasting;
}

void soak_oracle::accepted(std::string const& job)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& history = jobs_.at(job);
    history.accepted_ = true;
    history.accepted_at_ = clock::now();
}

void soak_oracle::rejected(std::string const& job)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    jobs_.at(job).rejected_ = true;
    auto const first = tasks_.lower_bound({job_id{job}, 0, 0, 0});
    if (first != tasks_.end() && first->first.job_ == job_id{job})
    {
        breach("REFUSED", job + " had begun");
    }
}

void soak_oracle::cancel_sent(std::string const& job)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    jobs_.at(job).cancel_sent_ = true;
}

void soak_oracle::cancel_acknowledged(std::string const& job)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& at = jobs_.at(job).cancelled_at_;
    at = std::min(at, clock::now());
}

void soak_oracle::shown(std::string const& job, std::string const& standing,
                        clock::time_point sent)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto& history = jobs_.at(job);
    if (standing == "completed")
    {
        history.completed_shown_ = true;
        if (!is_done(job, history))
        {
            breach("MIXED", job + " is shown as completed and is not");
        }
    }
    else if (history.cancel_sent_ || !history.accepted_)
    {
        return;
    }
    else if (standing.empty() && history.accepted_at_ < sent - visible_bound)
    {
        breach("LOST", job + " was accepted and is not known");
    }
    else if (standing == "failed" || standing == "cancelled")
    {
        breach("LOST", job + " is shown as " + standing);
    }
    else if (history.completed_shown_)
    {
        breach("LOST", job + " was completed and is shown as " + standing);
    }
}

void soak_oracle::key_accepted(std::string const& key)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    breach("REVOKED", key);
}

void soak_oracle::judge_end()
{
    std::lock_guard<std::mutex> const lock(mutex_);
    for (auto const& item : jobs_)
    {
        auto const& history = item.second;
        bool const owed = history.accepted_ && !history.cancel_sent_ &&
                          !history.long_running_;
        if (owed && !history.completed_shown_)
        {
            breach("LOST", item.first + " was accepted and has not ended");
        }
    }
    for (auto const& item : tasks_)
    {
        auto const& job = jobs_[item.first.job_.text()];
        if (job.cancelled_at_ != clock::time_point::max() &&
            !item.second.running_.empty())
        {
            breach("UNASKED", describe(item.first) +
                                  " runs on after its job was cancelled");
        }
    }
}

std::vector<std::string> soak_oracle::breaches() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return breaches_;
}

std::size_t soak_oracle::starts() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return starts_;
}

} // namespace cuminfold
