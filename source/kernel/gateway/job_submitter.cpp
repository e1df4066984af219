#include "kernel/gateway/job_submitter.hpp"

namespace cuminfold
{

namespace
{

void refuse(gateway_context& context, request_id const& request, reason cause,
            duration retry_after)
{
    context.count(cause);
    request_progress const undispatched;
    undispatched.conclude(
        [&](not_started_proof proof) {
            context.act(
                send_refusal{request, not_run{proof, cause, retry_after}});
        },
        [] {});
}

} // namespace

void job_submitter::submit(gateway_context& context, gateway_log& log,
                           caller_job const& job)
{
    if (log.config().version() == no_offset)
    {
        refuse(context, job.request_, reason::not_ready,
               settings_->requests_.retry_after_floor_);
        return;
    }
    auto const& services = log.config().current()->services_;
    if (services.count(job.job_request_.service_) == 0)
    {
        refuse(context, job.request_, reason::unknown_service, duration{0});
        return;
    }
    auto const record = log.fleet_writer().propose(
        job_submitted{job.job_, job.job_request_, settings_->data_centre_},
        log.config().version());
    waiting_[job.request_] =
        waiting_job{job.job_, record, context.now_ + job.deadline_};
}

void job_submitter::cancel(gateway_context& context, gateway_log& log,
                           caller_job_cancel const& cancel)
{
    auto const record =
        log.fleet_writer().propose(jobs_cancelled{{cancel.job_}});
    waiting_[cancel.request_] =
        waiting_job{cancel.job_, record, context.now_ + cancel.deadline_};
}

void job_submitter::on_caller_disconnected(request_id const& request)
{
    // The record is not withdrawn: the caller may query the job by its id.
    waiting_.erase(request);
}

void job_submitter::poll(gateway_context& context, gateway_log& log)
{
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        waiting_job const& job = it->second;
        bool const recorded = log.fleet_writer().settled(job.record_);
        if (!recorded && context.now_ < job.deadline_)
        {
            ++it;
            continue;
        }
        if (recorded)
        {
            context.act(send_job{it->first, job.job_});
        }
        else
        {
            expire(context, log, it->first, job);
        }
        it = waiting_.erase(it);
    }
}

void job_submitter::expire(gateway_context& context, gateway_log& log,
                           request_id const& request, waiting_job const& job)
{
    duration const retry_after = settings_->requests_.retry_after_floor_;
    if (log.fleet_writer().withdraw(job.record_))
    {
        refuse(context, request, reason::log_unavailable, retry_after);
        return;
    }
    context.count(reason::append_unknown);
    context.act(send_unknown{
        request, outcome_unknown{reason::append_unknown, retry_after}});
}

} // namespace cuminfold
