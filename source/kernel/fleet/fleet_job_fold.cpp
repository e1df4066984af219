#include "kernel/fleet/fleet_state.hpp"

#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

/// Whether the team holds all slots of its quota and may not borrow more.
bool is_quota_used_up(job_table const& jobs, intended_state const& intended,
                      team_name const& team)
{
    auto const found = intended.teams_.find(team);
    return found != intended.teams_.end() && !found->second.may_borrow_ &&
           jobs.slots_held(team) >= found->second.slots_;
}

} // namespace

void fleet_state::fold(job_submitted const& body, fold_context const& at)
{
    job_entry entry;
    entry.job_ = body.job_;
    entry.request_ = body.request_;
    entry.home_ = body.home_;
    entry.last_offset_ = at.offset_;
    if (!data_.jobs_.add(std::move(entry)))
    {
        ignore(reason::record_stale);
    }
}

void fleet_state::fold(job_placed const& body, fold_context const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->generation_ != body.expected_ ||
        job->phase_ != job_phase::waiting || body.attempt_ != job->attempt_ + 1)
    {
        ignore(reason::record_stale);
        return;
    }
    vm_entry const* vm = find_at_generation(body.vm_, body.vm_generation_);
    if (vm == nullptr)
    {
        return;
    }
    bool const full = vm->tasks_.size() >= vm->shape_.slots_;
    if (vm->phase_ != vm_phase::serving || vm->down_ || full)
    {
        ignore(reason::record_stale);
        return;
    }
    if (is_quota_used_up(data_.jobs_, at.intended_, job->request_.team_))
    {
        ignore(reason::job_team_quota);
        return;
    }
    data_.jobs_.change(body.job_, at.offset_,
                       [&](job_entry& entry)
                       {
                           entry.phase_ = job_phase::placed;
                           entry.attempt_ = body.attempt_;
                           entry.vm_ = body.vm_;
                           entry.lease_ = body.lease_;
                           entry.placed_by_ = at.record_.id_;
                       });
    data_.vms_.annotate(body.vm_, [&](vm_entry& entry)
                        { entry.tasks_.insert(body.job_); });
}

void fleet_state::fold(job_checkpointed const& body, fold_context const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->phase_ != job_phase::placed ||
        job->attempt_ != body.attempt_)
    {
        ignore(reason::record_stale);
        return;
    }
    if (body.stopped_)
    {
        remove_task(*job);
    }
    data_.jobs_.change(body.job_, at.offset_,
                       [&](job_entry& entry)
                       {
                           entry.checkpoint_ = body.checkpoint_;
                           if (body.stopped_)
                           {
                               entry.phase_ = entry.cancel_requested_
                                                  ? job_phase::cancelled
                                                  : job_phase::waiting;
                               entry.vm_ = vm_id{};
                           }
                       });
}

void fleet_state::fold(attempt_ended const& body, fold_context const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->phase_ != job_phase::placed ||
        job->attempt_ != body.attempt_)
    {
        ignore(reason::record_stale);
        return;
    }
    bool const can_retry = job->request_.idempotent_;
    bool const cancelled = job->cancel_requested_;
    vm_id const vm = job->vm_;
    remove_task(*job);
    switch (body.end_)
    {
    case attempt_end::finished:
        end_job(body.job_, at.offset_, job_phase::finished, body.detail_);
        return;
    case attempt_end::cancelled:
        end_job(body.job_, at.offset_, job_phase::cancelled, body.detail_);
        return;
    case attempt_end::failed:
    case attempt_end::unknown:
        if (!can_retry)
        {
            end_job(body.job_, at.offset_,
                    body.end_ == attempt_end::failed ? job_phase::failed
                                                     : job_phase::unknown,
                    body.detail_);
            return;
        }
        break;
    case attempt_end::not_started:
        break;
    }
    data_.jobs_.change(body.job_, at.offset_,
                       [&](job_entry& entry)
                       {
                           entry.phase_ = cancelled ? job_phase::cancelled
                                                    : job_phase::waiting;
                           if (body.end_ != attempt_end::not_started)
                           {
                               entry.failed_on_.insert(vm);
                           }
                           entry.vm_ = vm_id{};
                           entry.detail_ = body.detail_;
                       });
}

void fleet_state::fold(job_closed const& body, fold_context const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->generation_ != body.expected_ ||
        job->phase_ != job_phase::waiting)
    {
        ignore(reason::record_stale);
        return;
    }
    end_job(body.job_, at.offset_, job_phase::failed,
            std::string(name_of(body.cause_)));
}

void fleet_state::fold(jobs_cancelled const& body, fold_context const& at)
{
    for (auto const& id : body.jobs_)
    {
        job_entry const* job = data_.jobs_.find(id);
        if (job == nullptr || is_end(job->phase_))
        {
            ignore(reason::record_stale);
            continue;
        }
        bool const is_waiting = job->phase_ == job_phase::waiting;
        data_.jobs_.change(id, at.offset_,
                           [&](job_entry& entry)
                           {
                               entry.cancel_requested_ = true;
                               if (is_waiting)
                               {
                                   entry.phase_ = job_phase::cancelled;
                                   entry.detail_ = "cancelled while it waited";
                               }
                           });
    }
}

void fleet_state::fold(jobs_forgotten const& body, fold_context const&)
{
    data_.jobs_.forget(body.up_to_);
}

void fleet_state::remove_task(job_entry const& job)
{
    if (data_.vms_.find(job.vm_) != nullptr)
    {
        data_.vms_.annotate(job.vm_, [&](vm_entry& entry)
                            { entry.tasks_.erase(job.job_); });
    }
}

void fleet_state::end_job(job_id const& job, log_offset offset, job_phase phase,
                          std::string detail)
{
    data_.jobs_.change(job, offset,
                       [&](job_entry& entry)
                       {
                           entry.phase_ = phase;
                           entry.detail_ = std::move(detail);
                       });
}

} // namespace cuminfold
