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

/// A drain waits for a task whose predicted end is at most this time ahead or
/// past.
constexpr duration max_drain_wait = std::chrono::seconds{30};
/// Renewals sent within the duration of one lease.
constexpr int renewals_per_lease = 3;
/// Two monotonic clocks drift apart by at most the elapsed time divided by
/// this.
constexpr int clock_drift_divisor = 20;

/// What this process has observed of the current attempt of a job.
struct attempt_state
{
    std::uint32_t attempt_ = 0;
    time_point first_read_{};
    /// Start of the lease timer: when the placement was read, the start was
    /// sent or accepted, a renewal was sent, a probe showed the task as
    /// running, or a pause of this process ended, whichever is latest.
    time_point last_contact_{};
    time_point last_probed_running_{};
    time_point last_renewal_{};
    time_point last_stop_{};
    bool start_sent_ = false;
    /// The worker answered that the start request did not start the task.
    bool refused_ = false;
    bool seen_running_ = false;
};

/// Starts, renews, stops and ends the attempts of the data centre's jobs.
///
/// Only the controller that wrote the record which placed the job sends the
/// start request, after it has read that record back. It repeats the request
/// only if no byte of it was sent. The other controllers only observe the
/// start.
class job_attempts : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* result = std::get_if<task_call_result>(&event))
        {
            on_task_call_result(context, *result);
        }
        else if (!context.ready_)
        {
            return;
        }
        else if (auto const* probe = std::get_if<probe_result>(&event))
        {
            on_probe_result(context, *probe);
        }
        else if (std::holds_alternative<tick>(event))
        {
            detect_pause(context);
            update_attempts(context);
        }
    }

private:
    /// Restarts the lease timers if this process was paused, since other
    /// controllers may have renewed the leases meanwhile.
    void detect_pause(duty_context& context)
    {
        bool const paused = context.now_ - last_tick_ >
                            context.settings_.job_lease_ / renewals_per_lease;
        last_tick_ = context.now_;
        if (!paused)
        {
            return;
        }
        for (auto& item : states_)
        {
            item.second.last_contact_ = context.now_;
        }
    }

    void update_attempts(duty_context& context)
    {
        auto const& placed =
            context.fleet_.jobs().placed(context.settings_.data_centre_);
        for (auto it = states_.begin(); it != states_.end();)
        {
            it = placed.count(it->first) == 0 ? states_.erase(it)
                                              : std::next(it);
        }
        bool const probe_due =
            context.now_ - last_probe_ >= context.settings_.probe_interval_;
        std::map<vm_id, std::string> to_probe;
        for (auto const& id : placed)
        {
            job_entry const& job = *context.fleet_.jobs().find(id);
            update_attempt(context, job, state_of(context, job));
            vm_entry const* vm = context.fleet_.vms().find(job.vm_);
            if (vm != nullptr)
            {
                to_probe[vm->vm_] = vm->address_;
            }
        }
        if (probe_due && !to_probe.empty())
        {
            last_probe_ = context.now_;
            for (auto const& item : to_probe)
            {
                context.actions_.emplace_back(
                    probe_vm{item.first, item.second});
            }
        }
    }

    /// Returns the state of the job's current attempt; a new attempt starts
    /// with a new state.
    attempt_state& state_of(duty_context& context, job_entry const& job)
    {
        attempt_state& state = states_[job.job_];
        if (state.attempt_ != job.attempt_)
        {
            state = attempt_state{};
            state.attempt_ = job.attempt_;
            state.first_read_ = context.now_;
            state.last_contact_ = context.now_;
        }
        return state;
    }

    void update_attempt(duty_context& context, job_entry const& job,
                        attempt_state& state)
    {
        vm_entry const* vm = context.fleet_.vms().find(job.vm_);
        bool const placed_here =
            job.placed_by_.writer_ == context.settings_.self_;
        if (state.refused_)
        {
            propose_end(context, job, attempt_end::not_started,
                        job.vm_.text() + " refused it");
            return;
        }
        if (placed_here && !state.start_sent_)
        {
            send_start(context, job, state, vm);
            return;
        }
        if (context.rank("jobs") != 0)
        {
            return;
        }
        if (vm == nullptr || vm->tasks_.count(job.job_) == 0)
        {
            propose_end(context, job, attempt_end::unknown, "its VM is gone");
        }
        else if (context.now_ - state.last_contact_ >
                 job.lease_ + job.lease_ / clock_drift_divisor)
        {
            propose_end(context, job, attempt_end::unknown,
                        "its lease lapsed unseen on " + job.vm_.text());
        }
        else if (state.seen_running_)
        {
            stop_or_renew(context, job, state, *vm);
        }
    }

    /// Sends the start request once, or ends the attempt if the VM no longer
    /// accepts work, the job was cancelled, or half of the lease has passed
    /// since the placement was read.
    void send_start(duty_context& context, job_entry const& job,
                    attempt_state& state, vm_entry const* vm)
    {
        bool const can_start =
            vm != nullptr && vm->accepts_work() &&
            vm->tasks_.count(job.job_) != 0 && !job.cancel_requested_ &&
            context.now_ - state.first_read_ < job.lease_ / 2;
        if (!can_start)
        {
            propose_end(context, job, attempt_end::not_started,
                        "its VM took no work any more");
            return;
        }
        if (guard_.waits(context.fleet_writer_, job.job_.text()))
        {
            return;
        }
        state.start_sent_ = true;
        state.last_contact_ = context.now_;
        send_call(context, job, *vm, task_call_kind::start);
    }

    /// Requests a stop, at most once in each renewal interval, if the job was
    /// cancelled, or if its VM is leaving and the task is not about to end.
    /// Else renews the lease if a probe showed the task as running within the
    /// lease.
    void stop_or_renew(duty_context& context, job_entry const& job,
                       attempt_state& state, vm_entry const& vm)
    {
        duration const interval = job.lease_ / renewals_per_lease;
        bool const vm_leaving =
            vm.phase_ == vm_phase::draining || vm.phase_ == vm_phase::releasing;
        bool const must_stop =
            job.cancel_requested_ ||
            (vm_leaving && !is_about_to_end(context, job, state));
        if (must_stop && context.now_ - state.last_stop_ >= interval)
        {
            state.last_stop_ = context.now_;
            send_call(context, job, vm,
                      job.cancel_requested_
                          ? task_call_kind::stop
                          : task_call_kind::checkpoint_and_stop);
        }
        else if (context.now_ - state.last_renewal_ >= interval &&
                 context.now_ - state.last_probed_running_ < job.lease_)
        {
            state.last_renewal_ = context.now_;
            state.last_contact_ = context.now_;
            send_call(context, job, vm, task_call_kind::renew);
        }
    }

    bool is_about_to_end(duty_context& context, job_entry const& job,
                         attempt_state const& state) const
    {
        duration const elapsed = context.now_ - state.first_read_;
        duration const estimate = estimator_.estimate(
            job.request_.service_, job.request_.declared_run_time_);
        return estimate - elapsed <= max_drain_wait &&
               elapsed <= estimate + max_drain_wait;
    }

    static void send_call(duty_context& context, job_entry const& job,
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

    /// Returns the job if that attempt is still placed on the VM, else null.
    static job_entry const* find_placed(duty_context& context, job_id const& id,
                                        std::uint32_t attempt, vm_id const& vm)
    {
        job_entry const* job = context.fleet_.jobs().find(id);
        bool const same = job != nullptr && job->phase_ == job_phase::placed &&
                          job->attempt_ == attempt && job->vm_ == vm;
        return same ? job : nullptr;
    }

    void on_task_call_result(duty_context& context,
                             task_call_result const& result)
    {
        job_entry const* job =
            find_placed(context, result.job_, result.attempt_, result.vm_);
        if (job == nullptr || result.kind_ != task_call_kind::start)
        {
            return;
        }
        attempt_state& state = state_of(context, *job);
        if (result.not_sent_)
        {
            state.start_sent_ = false;
        }
        else if (result.accepted_)
        {
            state.last_contact_ = context.now_;
        }
        else if (result.not_started_)
        {
            state.refused_ = true;
        }
    }

    void on_probe_result(duty_context& context, probe_result const& probe)
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
                on_task_status(context, *job, probe);
            }
        }
    }

    void on_task_status(duty_context& context, job_entry const& job,
                        probe_result const& probe)
    {
        attempt_state& state = state_of(context, job);
        auto const report = std::find_if(
            probe.tasks_.begin(), probe.tasks_.end(),
            [&](auto const& task)
            { return task.job_ == job.job_ && task.attempt_ == job.attempt_; });
        bool const known = report != probe.tasks_.end();
        if (known && report->running_)
        {
            state.seen_running_ = true;
            state.last_contact_ = context.now_;
            state.last_probed_running_ = context.now_;
            return;
        }
        if (context.rank("jobs") != 0)
        {
            return;
        }
        // A probe result without the task proves nothing, since it may be older
        // than the start. The attempt then ends when its lease expires.
        if (known)
        {
            handle_task_end(context, job, state, *report);
        }
    }

    /// Proposes the record for a task that the worker reports as no longer
    /// running.
    void handle_task_end(duty_context& context, job_entry const& job,
                         attempt_state const& state, task_report const& report)
    {
        if (report.finished_)
        {
            if (state.start_sent_ || state.seen_running_)
            {
                estimator_.learn(job.request_.service_,
                                 job.request_.declared_run_time_,
                                 context.now_ - state.first_read_);
            }
            propose_end(context, job, attempt_end::finished,
                        "on " + job.vm_.text());
        }
        else if (report.stopped_ && job.cancel_requested_)
        {
            propose_end(context, job, attempt_end::cancelled,
                        "stopped on request");
        }
        else if (report.stopped_ && !report.checkpoint_.empty())
        {
            propose(context, job,
                    job_checkpointed{job.job_, job.attempt_, report.checkpoint_,
                                     true});
        }
        else
        {
            propose_end(context, job, attempt_end::failed,
                        report.detail_ + " on " + job.vm_.text());
        }
    }

    /// Proposes the end of the attempt. Counts `reason::job_unknown` if the
    /// outcome is unknown and the job is not idempotent.
    void propose_end(duty_context& context, job_entry const& job,
                     attempt_end outcome, std::string detail)
    {
        bool const result_unknown =
            outcome == attempt_end::unknown && !job.request_.idempotent_;
        if (result_unknown &&
            !guard_.waits(context.fleet_writer_, job.job_.text()))
        {
            context.actions_.emplace_back(count_reason{reason::job_unknown});
        }
        propose(
            context, job,
            attempt_ended{job.job_, job.attempt_, outcome, std::move(detail)});
    }

    void propose(duty_context& context, job_entry const& job, record_body body)
    {
        if (!guard_.waits(context.fleet_writer_, job.job_.text()))
        {
            guard_.proposed(job.job_.text(), context.propose(std::move(body)));
        }
    }

    std::map<job_id, attempt_state> states_;
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
