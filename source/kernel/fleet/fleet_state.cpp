#include "kernel/fleet/fleet_state.hpp"

#include "kernel/fleet/budget.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

constexpr std::size_t history_limit = 16;

log_offset highest_named(log_entry const& entry, log_offset floor)
{
    for (auto const& item : entry.records_)
    {
        log_offset const named = item.config_offset_;
        if (named != no_offset && (floor == no_offset || named > floor))
        {
            floor = named;
        }
    }
    return floor;
}

} // namespace

bool fleet_state::apply(log_entry const& entry, config_state const& config)
{
    if (entry.offset_ != data_.next_)
    {
        return false;
    }
    log_offset const needed = highest_named(entry, data_.config_floor_);
    if (needed != no_offset && needed >= config.next())
    {
        return false;
    }
    for (auto const& item : entry.records_)
    {
        log_offset const named = item.config_offset_;
        if (named != no_offset &&
            (data_.config_floor_ == no_offset || named > data_.config_floor_))
        {
            data_.config_floor_ = named;
        }
        ++data_.order_;
        if (!data_.window_.accept(item.id_))
        {
            ignore(reason::record_duplicate);
            continue;
        }
        auto const intended = config.at(data_.config_floor_);
        if (!intended)
        {
            ignore(reason::record_stale);
            continue;
        }
        apply_record(item, entry.offset_, *intended);
    }
    ++data_.next_;
    return true;
}

bool fleet_state::restore(fleet_data data)
{
    if (data.next_ < data_.next_)
    {
        return false;
    }
    data_ = std::move(data);
    return true;
}

std::set<incarnation>
fleet_state::missing_acknowledgements(vm_entry const& vm) const
{
    std::set<incarnation> missing;
    auto const owed =
        data_.gateways_.before(vm.data_centre_, vm.released_order_);
    for (auto const& gateway : owed)
    {
        if (vm.acknowledged_.count(gateway) == 0)
        {
            missing.insert(gateway);
        }
    }
    return missing;
}

std::uint64_t fleet_state::ignored(reason why) const
{
    return ignored_[static_cast<std::size_t>(why)];
}

void fleet_state::apply_record(record const& item, log_offset offset,
                               intended_state const& intended)
{
    place const at{item, offset, intended};
    std::visit([&](auto const& body) { fold(body, at); }, item.body_);
}

void fleet_state::ignore(reason why)
{
    ++ignored_[static_cast<std::size_t>(why)];
}

void fleet_state::note(vm_id const& vm, std::string what)
{
    data_.vms_.annotate(
        vm,
        [&](vm_entry& entry)
        {
            entry.history_.push_back({data_.order_, std::move(what)});
            if (entry.history_.size() > history_limit)
            {
                entry.history_.pop_front();
            }
        });
}

vm_entry const* fleet_state::expect(vm_id const& vm, generation expected)
{
    vm_entry const* entry = data_.vms_.find(vm);
    if (entry == nullptr || entry->generation_ != expected)
    {
        ignore(reason::record_stale);
        return nullptr;
    }
    return entry;
}

void fleet_state::fold(gateway_registered const& body, place const& at)
{
    gateway_entry entry;
    entry.gateway_ = at.record_.id_.writer_;
    entry.data_centre_ = body.data_centre_;
    entry.address_ = body.address_;
    entry.registered_order_ = data_.order_;
    data_.gateways_.register_gateway(std::move(entry));
}

void fleet_state::fold(gateway_left const& body, place const& at)
{
    if (body.by_own_word_ && body.gateway_ != at.record_.id_.writer_)
    {
        ignore(reason::record_stale);
        return;
    }
    if (!data_.gateways_.leave(body.gateway_))
    {
        ignore(reason::record_stale);
    }
}

void fleet_state::fold(vm_added const& body, place const&)
{
    vm_entry entry;
    entry.vm_ = body.vm_;
    entry.address_ = body.address_;
    entry.data_centre_ = body.data_centre_;
    entry.rack_ = body.rack_;
    entry.shape_ = body.shape_;
    // A name that comes back must not meet old preconditions.
    entry.generation_ = data_.order_;
    if (!data_.vms_.add(std::move(entry)))
    {
        ignore(reason::record_stale);
    }
}

void fleet_state::fold(vm_removed const& body, place const&)
{
    if (expect(body.vm_, body.expected_) != nullptr)
    {
        data_.vms_.remove(body.vm_);
    }
}

void fleet_state::fold(vm_assigned const& body, place const& at)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    bool const known = at.intended_.pools_.count(body.pool_) != 0;
    if (entry->phase_ != vm_phase::unassigned || !known)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.pool_ = body.pool_;
                          vm.phase_ = vm_phase::serving;
                      });
    note(body.vm_, "assigned to " + body.pool_.text() + ": " + body.why_);
}

void fleet_state::fold(move_released const& body, place const& at)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    bool const known = at.intended_.pools_.count(body.to_) != 0;
    if (entry->phase_ != vm_phase::serving || !known ||
        body.to_ == entry->pool_)
    {
        ignore(reason::record_stale);
        return;
    }
    auto const refused = refuse_to_spare(data_.vms_, at.intended_, *entry);
    if (refused)
    {
        ignore(*refused);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::releasing;
                          vm.target_ = body.to_;
                          vm.released_ = vm.generation_ + 1;
                          vm.released_order_ = data_.order_;
                          vm.acknowledged_.clear();
                      });
    note(body.vm_, "released for " + body.to_.text() + ": " + body.why_);
}

void fleet_state::fold(move_assigned const& body, place const&)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::releasing || !entry->tasks_.empty() ||
        !missing_acknowledgements(*entry).empty())
    {
        ignore(reason::acknowledgement_missing);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.pool_ = vm.target_;
                          vm.target_ = pool_name{};
                          vm.phase_ = vm_phase::serving;
                          vm.acknowledged_.clear();
                      });
    note(body.vm_, "moved to " + entry->pool_.text());
}

void fleet_state::fold(move_cancelled const& body, place const&)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::releasing)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.target_ = pool_name{};
                          vm.phase_ = vm_phase::serving;
                          vm.acknowledged_.clear();
                      });
    note(body.vm_, "release taken back");
}

void fleet_state::fold(vm_acknowledged const& body, place const& at)
{
    vm_entry const* entry = data_.vms_.find(body.vm_);
    bool const waits = entry != nullptr &&
                       (entry->phase_ == vm_phase::releasing ||
                        entry->phase_ == vm_phase::draining) &&
                       entry->released_ == body.released_;
    if (!waits)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.annotate(body.vm_, [&](vm_entry& vm)
                        { vm.acknowledged_.insert(at.record_.id_.writer_); });
}

void fleet_state::fold(drain_granted const& body, place const& at)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::serving)
    {
        ignore(reason::record_stale);
        return;
    }
    auto const refused = refuse_to_spare(data_.vms_, at.intended_, *entry);
    if (refused)
    {
        ignore(*refused);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::granted;
                          vm.wave_ = body.wave_;
                      });
    note(body.vm_, "drain granted for wave " + body.wave_.text());
}

void fleet_state::fold(drain_started const& body, place const&)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::granted)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::draining;
                          vm.released_ = vm.generation_ + 1;
                          vm.released_order_ = data_.order_;
                          vm.acknowledged_.clear();
                      });
    note(body.vm_, "drain started");
}

void fleet_state::fold(drain_withdrawn const& body, place const&)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::granted &&
        entry->phase_ != vm_phase::draining)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::serving;
                          vm.wave_ = wave_name{};
                          vm.acknowledged_.clear();
                      });
    note(body.vm_, "drain taken back: " + std::string(name_of(body.why_)));
}

void fleet_state::fold(reboot_decided const& body, place const& at)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::draining || !entry->tasks_.empty() ||
        !missing_acknowledgements(*entry).empty())
    {
        ignore(reason::acknowledgement_missing);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::rebooting;
                          vm.reboot_ = at.record_.id_;
                      });
    note(body.vm_, "reboot decided");
}

void fleet_state::fold(vm_returned const& body, place const&)
{
    vm_entry const* entry = expect(body.vm_, body.expected_);
    if (entry == nullptr)
    {
        return;
    }
    if (entry->phase_ != vm_phase::rebooting)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.vms_.change(body.vm_,
                      [&](vm_entry& vm)
                      {
                          vm.phase_ = vm_phase::serving;
                          vm.maintained_.insert(vm.wave_);
                          vm.wave_ = wave_name{};
                          vm.down_ = false;
                          vm.acknowledged_.clear();
                      });
    note(body.vm_, "returned");
}

void fleet_state::fold(vm_health const& body, place const&)
{
    if (expect(body.vm_, body.expected_) == nullptr)
    {
        return;
    }
    data_.vms_.change(body.vm_, [&](vm_entry& vm) { vm.down_ = !body.up_; });
    note(body.vm_, body.up_ ? "found up" : "found down");
}

void fleet_state::fold(data_centre_heard const& body, place const&)
{
    data_.vms_.set_heard(body.data_centre_, body.heard_);
}

void fleet_state::fold(wave_stopped const& body, place const&)
{
    data_.stopped_waves_.emplace(body.wave_, body.why_);
}

void fleet_state::fold(job_submitted const& body, place const& at)
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

void fleet_state::fold(job_placed const& body, place const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->generation_ != body.expected_ ||
        job->phase_ != job_phase::waiting || body.attempt_ != job->attempt_ + 1)
    {
        ignore(reason::record_stale);
        return;
    }
    vm_entry const* vm = expect(body.vm_, body.vm_generation_);
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
    data_.jobs_.change(body.job_, at.offset_,
                       [&](job_entry& entry)
                       {
                           entry.phase_ = job_phase::placed;
                           entry.attempt_ = body.attempt_;
                           entry.vm_ = body.vm_;
                           entry.lease_ = body.lease_;
                       });
    data_.vms_.annotate(body.vm_, [&](vm_entry& entry)
                        { entry.tasks_.insert(body.job_); });
}

void fleet_state::fold(job_checkpointed const& body, place const& at)
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
        drop_task(*job);
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

void fleet_state::fold(attempt_ended const& body, place const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->phase_ != job_phase::placed ||
        job->attempt_ != body.attempt_)
    {
        ignore(reason::record_stale);
        return;
    }
    bool const again = job->request_.idempotent_;
    bool const cancelled = job->cancel_requested_;
    vm_id const vm = job->vm_;
    drop_task(*job);
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
        if (!again)
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
                           entry.failed_on_.insert(vm);
                           entry.vm_ = vm_id{};
                           entry.detail_ = body.detail_;
                       });
}

void fleet_state::fold(job_closed const& body, place const& at)
{
    job_entry const* job = data_.jobs_.find(body.job_);
    if (job == nullptr || job->generation_ != body.expected_ ||
        job->phase_ != job_phase::waiting)
    {
        ignore(reason::record_stale);
        return;
    }
    end_job(body.job_, at.offset_, job_phase::failed,
            std::string(name_of(body.why_)));
}

void fleet_state::fold(jobs_cancelled const& body, place const& at)
{
    for (auto const& id : body.jobs_)
    {
        job_entry const* job = data_.jobs_.find(id);
        if (job == nullptr || is_end(job->phase_))
        {
            ignore(reason::record_stale);
            continue;
        }
        bool const waits = job->phase_ == job_phase::waiting;
        data_.jobs_.change(id, at.offset_,
                           [&](job_entry& entry)
                           {
                               entry.cancel_requested_ = true;
                               if (waits)
                               {
                                   entry.phase_ = job_phase::cancelled;
                               }
                           });
    }
}

void fleet_state::fold(jobs_forgotten const& body, place const&)
{
    data_.jobs_.forget(body.up_to_);
}

void fleet_state::fold(unknown_body const& body, place const&)
{
    data_.unknown_kinds_.insert(body.kind_);
    ignore(reason::record_unknown_kind);
}

void fleet_state::drop_task(job_entry const& job)
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
