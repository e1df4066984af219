#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/placement/run_time_estimator.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// A task that is predicted to end within this is waited for by a drain.
constexpr duration near_end = std::chrono::seconds{30};
/// Renewals sent in the time of one lease.
constexpr int renewals_per_lease = 3;
/// Bound of the drift between two monotonic clocks, in parts of the time.
constexpr int drift_divisor = 20;

/// What this process knows of the running attempt of a job.
struct attempt_watch
{
    std::uint32_t attempt_ = 0;
    time_point first_read_{};
    /// Last sign that the task runs, or the last renewal that was sent.
    time_point last_sign_{};
    time_point last_probed_running_{};
    time_point last_renewal_{};
    time_point last_stop_{};
    bool start_sent_ = false;
    /// The worker said that the one start did not start anything.
    bool refused_ = false;
    bool seen_running_ = false;
};

/// Starts, renews, stops and ends the attempts of the data centre's jobs.
///
/// A start is sent only by the controller that wrote the record which placed
/// the job, after it has read that back, and again only if no byte of it was
/// sent. The other controllers watch.
class job_attempts : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* result = std::get_if<task_call_result>(&event))
        {
            take_call(context, *result);
        }
        else if (!context.ready_)
        {
            return;
        }
        else if (auto const* probe = std::get_if<probe_result>(&event))
        {
            take_probe(context, *probe);
        }
        else if (std::holds_alternative<tick>(event))
        {
            notice_pause(context);
            watch_all(context);
        }
    }

private:
    /// After a pause of this process others may have renewed the leases: they
    /// are counted anew.
    void notice_pause(duty_context& context)
    {
        bool const paused = context.now_ - last_tick_ >
                            context.settings_.job_lease_ / renewals_per_lease;
        last_tick_ = context.now_;
        if (!paused)
        {
            return;
        }
        for (auto& item : watches_)
        {
            item.second.last_sign_ = context.now_;
        }
    }

    void watch_all(duty_context& context)
    {
        auto const& placed =
            context.fleet_.jobs().placed(context.settings_.data_centre_);
        for (auto place = watches_.begin(); place != watches_.end();)
        {
            place = placed.count(place->first) == 0 ? watches_.erase(place)
                                                    : std::next(place);
        }
        bool const probes =
            context.now_ - last_probe_ >= context.settings_.probe_interval_;
        std::map<vm_id, std::string> to_probe;
        for (auto const& id : placed)
        {
            job_entry const& job = *context.fleet_.jobs().find(id);
            watch_job(context, job, watch_of(context, job));
            vm_entry const* vm = context.fleet_.vms().find(job.vm_);
            if (vm != nullptr)
            {
                to_probe[vm->vm_] = vm->address_;
            }
        }
        if (probes && !to_probe.empty())
        {
            last_probe_ = context.now_;
            for (auto const& item : to_probe)
            {
                context.actions_.emplace_back(
                    probe_vm{item.first, item.second});
            }
        }
    }

    attempt_watch& watch_of(duty_context& context, job_entry const& job)
    {
        attempt_watch& watch = watches_[job.job_];
        if (watch.attempt_ != job.attempt_)
        {
            watch = attempt_watch{};
            watch.attempt_ = job.attempt_;
            watch.first_read_ = context.now_;
            watch.last_sign_ = context.now_;
        }
        return watch;
    }

    void watch_job(duty_context& context, job_entry const& job,
                   attempt_watch& watch)
    {
        vm_entry const* vm = context.fleet_.vms().find(job.vm_);
        bool const mine = job.placed_by_.writer_ == context.settings_.self_;
        if (watch.refused_)
        {
            end(context, job, attempt_end::not_started,
                job.vm_.text() + " refused it");
            return;
        }
        if (mine && !watch.start_sent_)
        {
            start(context, job, watch, vm);
            return;
        }
        if (context.rank("jobs") != 0)
        {
            return;
        }
        if (vm == nullptr || vm->tasks_.count(job.job_) == 0)
        {
            end(context, job, attempt_end::unknown, "its VM is gone");
        }
        else if (context.now_ - watch.last_sign_ >
                 job.lease_ + job.lease_ / drift_divisor)
        {
            end(context, job, attempt_end::unknown,
                "its lease lapsed unseen on " + job.vm_.text());
        }
        else if (watch.seen_running_)
        {
            steer(context, job, watch, *vm);
        }
    }

    /// Sends the start once, unless the VM may take no new work any more.
    void start(duty_context& context, job_entry const& job,
               attempt_watch& watch, vm_entry const* vm)
    {
        bool const good = vm != nullptr && vm->takes_work() &&
                          vm->tasks_.count(job.job_) != 0 &&
                          !job.cancel_requested_ &&
                          context.now_ - watch.first_read_ < job.lease_ / 2;
        if (!good)
        {
            end(context, job, attempt_end::not_started,
                "its VM took no work any more");
            return;
        }
        if (guard_.waits(context.fleet_writer_, job.job_.text()))
        {
            return;
        }
        watch.start_sent_ = true;
        watch.last_sign_ = context.now_;
        call(context, job, *vm, task_call_kind::start);
    }

    void steer(duty_context& context, job_entry const& job,
               attempt_watch& watch, vm_entry const& vm)
    {
        duration const interval = job.lease_ / renewals_per_lease;
        bool const leaves =
            vm.phase_ == vm_phase::draining || vm.phase_ == vm_phase::releasing;
        bool const stops = job.cancel_requested_ ||
                           (leaves && !ends_soon(context, job, watch));
        if (stops && context.now_ - watch.last_stop_ >= interval)
        {
            watch.last_stop_ = context.now_;
            call(context, job, vm,
                 job.cancel_requested_ ? task_call_kind::stop
                                       : task_call_kind::checkpoint_and_stop);
        }
        else if (context.now_ - watch.last_renewal_ >= interval &&
                 context.now_ - watch.last_probed_running_ < job.lease_)
        {
            watch.last_renewal_ = context.now_;
            watch.last_sign_ = context.now_;
            call(context, job, vm, task_call_kind::renew);
        }
    }

    bool ends_soon(duty_context& context, job_entry const& job,
                   attempt_watch const& watch) const
    {
        duration const spent = context.now_ - watch.first_read_;
        duration const whole = estimator_.estimate(
            job.request_.service_, job.request_.declared_run_time_);
        return whole - spent <= near_end && spent <= whole + near_end;
    }

    static void call(duty_context& context, job_entry const& job,
                     vm_entry const& vm, task_call_kind kind)
    {
        call_task task;
        task.vm_ = vm.vm_;
        task.address_ = vm.address_;
        task.kind_ = kind;
        task.job_ = job.job_;
        task.attempt_ = job.attempt_;
        task.lease_ = job.lease_;
        task.service_ = job.request_.service_;
        task.declared_run_time_ = job.request_.declared_run_time_;
        if (kind == task_call_kind::start)
        {
            task.checkpoint_ = job.checkpoint_;
            task.body_ = job.request_.body_;
        }
        context.actions_.emplace_back(std::move(task));
    }

    /// The placed job that a call or a report is about, if it still is.
    static job_entry const* find(duty_context& context, job_id const& id,
                                 std::uint32_t attempt, vm_id const& vm)
    {
        job_entry const* job = context.fleet_.jobs().find(id);
        bool const same = job != nullptr && job->phase_ == job_phase::placed &&
                          job->attempt_ == attempt && job->vm_ == vm;
        return same ? job : nullptr;
    }

    void take_call(duty_context& context, task_call_result const& result)
    {
        job_entry const* job =
            find(context, result.job_, result.attempt_, result.vm_);
        if (job == nullptr || result.kind_ != task_call_kind::start)
        {
            return;
        }
        attempt_watch& watch = watch_of(context, *job);
        if (result.not_sent_)
        {
            watch.start_sent_ = false;
        }
        else if (result.accepted_)
        {
            watch.last_sign_ = context.now_;
        }
        else if (result.not_started_)
        {
            watch.refused_ = true;
        }
    }

    void take_probe(duty_context& context, probe_result const& probe)
    {
        vm_entry const* vm = context.fleet_.vms().find(probe.vm_);
        if (vm == nullptr || !probe.answered_ ||
            vm->data_centre_ != context.settings_.data_centre_)
        {
            return;
        }
        for (auto const& id : vm->tasks_)
        {
            job_entry const* job = context.fleet_.jobs().find(id);
            if (job != nullptr && job->phase_ == job_phase::placed)
            {
                take_report(context, *job, probe);
            }
        }
    }

    void take_report(duty_context& context, job_entry const& job,
                     probe_result const& probe)
    {
        attempt_watch& watch = watch_of(context, job);
        auto const report = std::find_if(
            probe.tasks_.begin(), probe.tasks_.end(),
            [&](auto const& task)
            { return task.job_ == job.job_ && task.attempt_ == job.attempt_; });
        bool const known = report != probe.tasks_.end();
        if (known && report->running_)
        {
            watch.seen_running_ = true;
            watch.last_sign_ = context.now_;
            watch.last_probed_running_ = context.now_;
            return;
        }
        if (context.rank("jobs") != 0)
        {
            return;
        }
        // A task that the worker does not know is no sign: the report may be
        // older than the start. The lease decides.
        if (known)
        {
            conclude(context, job, watch, *report);
        }
    }

    void conclude(duty_context& context, job_entry const& job,
                  attempt_watch const& watch, task_report const& report)
    {
        if (report.finished_)
        {
            if (watch.start_sent_ || watch.seen_running_)
            {
                estimator_.learn(job.request_.service_,
                                 job.request_.declared_run_time_,
                                 context.now_ - watch.first_read_);
            }
            end(context, job, attempt_end::finished, "on " + job.vm_.text());
        }
        else if (report.stopped_ && job.cancel_requested_)
        {
            end(context, job, attempt_end::cancelled, "stopped on request");
        }
        else if (report.stopped_ && !report.checkpoint_.empty())
        {
            propose(context, job,
                    job_checkpointed{job.job_, job.attempt_, report.checkpoint_,
                                     true});
        }
        else
        {
            end(context, job, attempt_end::failed,
                report.detail_ + " on " + job.vm_.text());
        }
    }

    void end(duty_context& context, job_entry const& job, attempt_end how,
             std::string detail)
    {
        bool const lost =
            how == attempt_end::unknown && !job.request_.idempotent_;
        if (lost && !guard_.waits(context.fleet_writer_, job.job_.text()))
        {
            context.actions_.emplace_back(count_reason{reason::job_unknown});
        }
        propose(context, job,
                attempt_ended{job.job_, job.attempt_, how, std::move(detail)});
    }

    void propose(duty_context& context, job_entry const& job, record_body body)
    {
        if (!guard_.waits(context.fleet_writer_, job.job_.text()))
        {
            guard_.proposed(job.job_.text(), context.propose(std::move(body)));
        }
    }

    std::map<job_id, attempt_watch> watches_;
    run_time_estimator estimator_;
    time_point last_tick_{};
    time_point last_probe_{-std::chrono::hours{1}};
    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "job_attempts", [](controller_settings const&)
    { return std::make_unique<job_attempts>(); }};

} // namespace

} // namespace cuminfold
