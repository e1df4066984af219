#ifndef CUMINFOLD_TESTS_PROOF_FAKE_WORKER_HPP
#define CUMINFOLD_TESTS_PROOF_FAKE_WORKER_HPP

#include "kernel/controller/controller_action.hpp"
#include "kernel/controller/controller_event.hpp"
#include "kernel/gateway/gateway_event.hpp"
#include "proof/oracle.hpp"
#include "proof/timeline.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace cuminfold
{

/// One worker VM: runs requests and tasks, fails, hangs and reboots.
class fake_worker
{
public:
    using reply_done = std::function<void(dispatch_result)>;

    /// A request as it reaches the worker.
    struct run
    {
        dispatch_number dispatch_ = 0;
        std::string request_;
        /// What its answer names.
        std::string answer_;
        std::string key_;
        std::string pool_;
        bool idempotent_ = true;
    };

    fake_worker(timeline& time, oracle& judge, listed_vm listed)
        : listed_(std::move(listed)), time_(time), judge_(judge)
    {
    }

    listed_vm listed_;
    bool up_ = true;
    bool hang_ = false;
    bool fail_all_ = false;
    std::uint64_t boot_ = 1;
    std::uint32_t reboots_ = 0;

    /// Runs a request. `done` hears its end, unless the worker hangs.
    void dispatch(run const& what, duration run_time, reply_done const& done)
    {
        dispatch_result result;
        result.dispatch_ = what.dispatch_;
        result.worker_leaving_ = listed_.state_ == listed_state::leaving;
        if (!up_)
        {
            result.end_ = dispatch_end::not_sent;
            done(result);
            return;
        }
        if (running_ + tasks_running() >= listed_.shape_.slots_)
        {
            result.end_ = dispatch_end::not_started;
            done(result);
            return;
        }
        judge_.run_started(listed_.vm_.text(), what.pool_, what.request_,
                           what.key_, what.idempotent_);
        ++running_;
        if (hang_)
        {
            return;
        }
        time_.after(run_time, [this, what, result, done, boot = boot_]
                    { end_run(what, result, done, boot); });
    }

    /// The VM fails: what runs on it is gone.
    void fail()
    {
        up_ = false;
        forget_all();
    }

    void come_back()
    {
        up_ = true;
        hang_ = false;
        fail_all_ = false;
    }

    /// The platform reboots it: a planned stop.
    void reboot(duration span)
    {
        judge_.rebooted(listed_.vm_.text(), tasks_running());
        ++reboots_;
        forget_all();
        up_ = false;
        time_.after(span, [this] { come_back(); });
    }

    probe_result probe() const
    {
        probe_result result;
        result.vm_ = listed_.vm_;
        result.answered_ = up_;
        result.healthy_ = up_;
        result.boot_ = boot_;
        result.busy_slots_ = running_ + tasks_running();
        for (auto const& item : tasks_)
        {
            result.tasks_.push_back(item.second);
        }
        return result;
    }

    task_call_result call(call_task const& what, duration run_time)
    {
        task_call_result result;
        result.vm_ = what.vm_;
        result.kind_ = what.kind_;
        result.job_ = what.job_;
        result.attempt_ = what.attempt_;
        result.not_sent_ = !up_;
        result.replied_ = up_;
        if (!up_)
        {
            return result;
        }
        auto const name = std::make_pair(what.job_, what.attempt_);
        auto const found = tasks_.find(name);
        if (what.kind_ == task_call_kind::start && found == tasks_.end())
        {
            result.accepted_ = start_task(what, run_time);
            return result;
        }
        result.accepted_ = found != tasks_.end();
        bool const stop = what.kind_ == task_call_kind::stop ||
                          what.kind_ == task_call_kind::checkpoint_and_stop;
        if (stop && result.accepted_ && found->second.running_)
        {
            found->second.running_ = false;
            found->second.stopped_ = true;
            found->second.checkpoint_ = "saved";
        }
        return result;
    }

private:
    void end_run(run const& what, dispatch_result result,
                 reply_done const& done, std::uint64_t boot)
    {
        if (boot != boot_)
        {
            result.end_ = dispatch_end::lost;
            done(result);
            return;
        }
        --running_;
        judge_.run_ended(listed_.vm_.text(), what.request_);
        result.end_ =
            fail_all_ ? dispatch_end::worker_error : dispatch_end::answered;
        result.status_ = fail_all_ ? 500 : 200;
        result.short_body_ = "answer to " + what.answer_;
        result.worker_leaving_ = listed_.state_ == listed_state::leaving;
        done(result);
    }

    bool start_task(call_task const& what, duration run_time)
    {
        if (running_ + tasks_running() >= listed_.shape_.slots_)
        {
            return false;
        }
        auto const name = std::make_pair(what.job_, what.attempt_);
        task_report report;
        report.job_ = what.job_;
        report.attempt_ = what.attempt_;
        report.running_ = true;
        tasks_[name] = report;
        std::string const pool = what.service_.text() == "t" ? "tally" : "stat";
        judge_.run_started(listed_.vm_.text(), pool, "task " + what.job_.text(),
                           what.job_.text() + "/" + what.checkpoint_,
                           what.job_.text().rfind("again-", 0) == 0);
        judge_.run_ended(listed_.vm_.text(), "task " + what.job_.text());
        time_.after(run_time,
                    [this, name, boot = boot_]
                    {
                        auto const found = tasks_.find(name);
                        if (boot == boot_ && found != tasks_.end() &&
                            found->second.running_)
                        {
                            found->second.running_ = false;
                            found->second.finished_ = true;
                        }
                    });
        return true;
    }

    std::uint32_t tasks_running() const
    {
        std::uint32_t count = 0;
        for (auto const& item : tasks_)
        {
            count += item.second.running_ ? 1 : 0;
        }
        return count;
    }

    void forget_all()
    {
        ++boot_;
        running_ = 0;
        tasks_.clear();
        judge_.vm_lost(listed_.vm_.text());
    }

    timeline& time_;
    oracle& judge_;
    std::uint32_t running_ = 0;
    std::map<std::pair<job_id, std::uint32_t>, task_report> tasks_;
};

} // namespace cuminfold

#endif
