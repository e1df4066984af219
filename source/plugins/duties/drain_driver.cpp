#include "kernel/controller/controller_duty.hpp"
#include "kernel/fleet/budget.hpp"
#include "kernel/maintenance/proposal_turn.hpp"
#include "kernel/maintenance/window.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

constexpr duration initial_call_backoff = std::chrono::seconds{1};
constexpr duration max_call_backoff = std::chrono::seconds{30};
/// If the VM's boot number before the reboot is unknown, a healthy answer
/// counts as a return only this long after the platform accepted the call.
constexpr duration unknown_boot_delay = std::chrono::seconds{30};

std::string reboot_token(record_id const& id)
{
    return id.writer_.node_.text() + "-" + std::to_string(id.writer_.number_) +
           "-" + std::to_string(id.sequence_);
}

/// Advances the drains of the local data centre from the grant until the VM has
/// returned: starts or withdraws each drain, decides on the reboot and requests
/// it from the platform, and probes the VM.
class drain_driver : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* probe = std::get_if<probe_result>(&event))
        {
            on_probe_result(context, *probe);
        }
        else if (auto const* result = std::get_if<platform_call_result>(&event))
        {
            on_platform_call_result(context, *result);
        }
        else if (std::holds_alternative<tick>(event) && context.ready_)
        {
            advance_drains(context);
        }
    }

private:
    /// What this controller observed of one drain. It is not stored: another
    /// controller that takes over starts with an empty one.
    struct drain_progress
    {
        vm_phase phase_ = vm_phase::unassigned;
        /// Generation at the start of the drain.
        generation released_ = 0;
        time_point phase_since_{};
        std::optional<time_point> probed_at_;
        std::uint64_t boot_ = 0;
        bool healthy_ = false;
        std::optional<time_point> accepted_at_;
        time_point call_not_before_{};
        duration call_backoff_ = initial_call_backoff;
        bool reason_counted_ = false;
    };

    void on_probe_result(duty_context& context, probe_result const& probe)
    {
        if (probe.answered_ && probe.healthy_)
        {
            suspects_.erase(probe.vm_);
        }
        else if (context.fleet_.vms().find(probe.vm_) != nullptr)
        {
            suspects_.insert(probe.vm_);
        }
        auto const found = progress_.find(probe.vm_);
        if (found != progress_.end())
        {
            drain_progress& progress = found->second;
            progress.healthy_ = probe.answered_ && probe.healthy_;
            progress.boot_ = probe.answered_ ? probe.boot_ : progress.boot_;
        }
    }

    void on_platform_call_result(duty_context& context,
                                 platform_call_result const& result)
    {
        auto const found = progress_.find(result.vm_);
        vm_entry const* vm = context.fleet_.vms().find(result.vm_);
        if (found != progress_.end() && vm != nullptr && result.accepted_ &&
            result.token_ == reboot_token(vm->reboot_))
        {
            found->second.accepted_at_ = context.now_;
        }
    }

    void advance_drains(duty_context& context)
    {
        turn_.forget_idle(context.now_);
        std::map<vm_id, drain_progress> kept;
        for (auto const& item : context.fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.data_centre_ != context.settings_.data_centre_ ||
                (vm.phase_ != vm_phase::granted &&
                 vm.phase_ != vm_phase::draining &&
                 vm.phase_ != vm_phase::rebooting))
            {
                continue;
            }
            drain_progress& progress = kept[vm.vm_];
            progress = progress_of(context, vm);
            advance_drain(context, vm, progress);
        }
        progress_ = std::move(kept);
        prune_suspects(context);
    }

    /// Returns the progress of the VM's current phase and drain, or a new one
    /// if another phase or drain was observed before.
    drain_progress progress_of(duty_context& context, vm_entry const& vm) const
    {
        auto const found = progress_.find(vm.vm_);
        if (found != progress_.end() && found->second.phase_ == vm.phase_ &&
            found->second.released_ == vm.released_)
        {
            return found->second;
        }
        drain_progress progress;
        progress.phase_since_ = context.now_;
        progress.phase_ = vm.phase_;
        progress.released_ = vm.released_;
        return progress;
    }

    void prune_suspects(duty_context& context)
    {
        for (auto it = suspects_.begin(); it != suspects_.end();)
        {
            bool const gone = context.fleet_.vms().find(*it) == nullptr;
            it = gone ? suspects_.erase(it) : std::next(it);
        }
    }

    void advance_drain(duty_context& context, vm_entry const& vm,
                       drain_progress& progress)
    {
        switch (vm.phase_)
        {
        case vm_phase::granted:
            start_drain(context, vm);
            return;
        case vm_phase::draining:
            finish_drain(context, vm, progress);
            return;
        default:
            complete_reboot(context, vm, progress);
            return;
        }
    }

    /// Returns why the VM may not be stopped now, or nothing if it may.
    static std::optional<reason> refusal_reason(duty_context& context,
                                                vm_entry const& vm)
    {
        intended_state const& intended = *context.config_.current();
        if (context.fleet_.data().stopped_waves_.count(vm.wave_) != 0)
        {
            return reason::wave_stopped;
        }
        auto const wave = intended.waves_.find(vm.wave_);
        if (wave == intended.waves_.end())
        {
            return reason::wave_stopped;
        }
        if (!wave_may_drain(intended, wave->second, vm, context.wall_))
        {
            return reason::outside_window;
        }
        return std::nullopt;
    }

    /// Returns true if the pool has fewer available VMs than its need and its
    /// reserve according to the folded state, or fewer than its need once the
    /// VMs are left out whose last probe by this controller failed. False for a
    /// VM that is down already, and for a pool without a budget.
    bool is_short(duty_context& context, vm_entry const& vm) const
    {
        intended_state const& intended = *context.config_.current();
        auto const budget = intended.budgets_.find(vm.pool_);
        if (vm.down_ || budget == intended.budgets_.end())
        {
            return false;
        }
        pool_usage const& usage = context.fleet_.vms().usage(vm.pool_);
        std::uint32_t const reserve =
            reserve_size(usage, budget->second.reserve_, nullptr);
        auto const suspected = std::count_if(
            suspects_.begin(), suspects_.end(),
            [&](vm_id const& id)
            {
                vm_entry const* other = context.fleet_.vms().find(id);
                return other != nullptr && other->pool_ == vm.pool_ &&
                       other->phase_ == vm_phase::serving && !other->down_;
            });
        std::uint32_t const need = budget->second.need_;
        return usage.available_ < need + reserve ||
               usage.available_ < need + static_cast<std::uint32_t>(suspected);
    }

    /// Starts a granted drain, or withdraws it if the VM may not be stopped now
    /// or the pool is short.
    void start_drain(duty_context& context, vm_entry const& vm)
    {
        std::string const entity = "drain:" + vm.vm_.text();
        if (!turn_.is_due(context, entity, vm.generation_))
        {
            return;
        }
        auto refusal = refusal_reason(context, vm);
        if (!refusal && is_short(context, vm))
        {
            refusal = reason::grant_withdrawn;
        }
        if (refusal)
        {
            withdraw(context, vm, *refusal);
            return;
        }
        turn_.propose(context, entity, drain_started{vm.vm_, vm.generation_});
    }

    void withdraw(duty_context& context, vm_entry const& vm, reason cause)
    {
        context.actions_.emplace_back(count_reason{cause});
        turn_.propose(context, "drain:" + vm.vm_.text(),
                      drain_withdrawn{vm.vm_, vm.generation_, cause});
    }

    /// Decides on the reboot once the VM has no tasks, all gateways have
    /// acknowledged the drain, and its boot number is known or it is down.
    /// Withdraws the drain if the VM may no longer be stopped or its pool is
    /// below its need.
    void finish_drain(duty_context& context, vm_entry const& vm,
                      drain_progress& progress)
    {
        probe(context, vm, progress);
        std::string const entity = "drain:" + vm.vm_.text();
        bool const must_withdraw =
            refusal_reason(context, vm).has_value() ||
            (!vm.down_ && !is_need_met(context.fleet_.vms(),
                                       *context.config_.current(), vm.pool_));
        bool const boot_known = progress.boot_ != 0 || vm.down_;
        bool const is_drained =
            vm.tasks_.empty() &&
            context.fleet_.missing_acknowledgements(vm).empty();
        if ((!must_withdraw && !(is_drained && boot_known)) ||
            !turn_.is_due(context, entity, vm.generation_))
        {
            return;
        }
        if (must_withdraw)
        {
            withdraw(context, vm, reason::drain_undone);
            return;
        }
        turn_.propose(context, entity,
                      reboot_decided{vm.vm_, vm.generation_, progress.boot_});
    }

    /// Requests the reboot and probes the VM until it has returned.
    void complete_reboot(duty_context& context, vm_entry const& vm,
                         drain_progress& progress)
    {
        std::string const entity = "drain:" + vm.vm_.text();
        // The platform executes each token only once, so any controller may
        // call. Controllers of a higher rank start later.
        duration const takeover_delay =
            4 * context.rank(entity) * context.settings_.rank_step_;
        if (context.now_ - progress.phase_since_ < takeover_delay)
        {
            return;
        }
        call_reboot(context, vm, progress);
        probe(context, vm, progress);
        if (has_returned(context, vm, progress))
        {
            if (turn_.is_due(context, entity, vm.generation_))
            {
                turn_.propose(context, entity,
                              vm_returned{vm.vm_, vm.generation_});
            }
            return;
        }
        mark_down_if_overdue(context, vm, progress);
    }

    /// Requests the reboot, with exponential backoff until the platform
    /// accepts.
    static void call_reboot(duty_context& context, vm_entry const& vm,
                            drain_progress& progress)
    {
        if (progress.accepted_at_ || context.now_ < progress.call_not_before_)
        {
            return;
        }
        progress.call_not_before_ = context.now_ + progress.call_backoff_;
        progress.call_backoff_ =
            std::min(2 * progress.call_backoff_, max_call_backoff);
        context.actions_.emplace_back(call_platform{
            vm.vm_, platform_call_kind::reboot, reboot_token(vm.reboot_)});
    }

    static void probe(duty_context& context, vm_entry const& vm,
                      drain_progress& progress)
    {
        auto const& interval = context.settings_.probe_interval_;
        if (!progress.probed_at_ ||
            context.now_ - *progress.probed_at_ >= interval)
        {
            progress.probed_at_ = context.now_;
            context.actions_.emplace_back(probe_vm{vm.vm_, vm.address_});
        }
    }

    /// Returns true if the VM is healthy and runs a new boot. If its boot
    /// number before the reboot is unknown, `unknown_boot_delay` must have
    /// passed instead.
    static bool has_returned(duty_context& context, vm_entry const& vm,
                             drain_progress const& progress)
    {
        if (!progress.healthy_)
        {
            return false;
        }
        if (vm.boot_ != 0)
        {
            return progress.boot_ != vm.boot_;
        }
        return progress.accepted_at_ &&
               context.now_ - *progress.accepted_at_ >= unknown_boot_delay;
    }

    /// Records the VM as down if it has not returned within the return timeout.
    void mark_down_if_overdue(duty_context& context, vm_entry const& vm,
                              drain_progress& progress)
    {
        if (vm.down_ || context.now_ - progress.phase_since_ <
                            context.settings_.return_timeout_)
        {
            return;
        }
        std::string const entity = "drain:" + vm.vm_.text();
        if (!turn_.is_due(context, entity, vm.generation_))
        {
            return;
        }
        if (!progress.reason_counted_)
        {
            progress.reason_counted_ = true;
            context.actions_.emplace_back(count_reason{reason::vm_not_back});
        }
        turn_.propose(context, entity,
                      vm_health{vm.vm_, vm.generation_, false});
    }

    std::map<vm_id, drain_progress> progress_;
    /// VMs whose last probe by this controller failed.
    std::set<vm_id> suspects_;
    proposal_scheduler turn_;
};

registrar<controller_duty> const registered{
    "drain_driver", [](controller_settings const&)
    { return std::make_unique<drain_driver>(); }};

} // namespace

} // namespace cuminfold
