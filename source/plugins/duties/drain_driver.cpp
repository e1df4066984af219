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

constexpr duration call_backoff_first = std::chrono::seconds{1};
constexpr duration call_backoff_limit = std::chrono::seconds{30};
/// A VM whose start number was not known may answer again so long after the
/// platform took the call.
constexpr duration reboot_settle = std::chrono::seconds{30};

std::string token_of(record_id const& id)
{
    return id.writer_.node_.text() + "-" + std::to_string(id.writer_.number_) +
           "-" + std::to_string(id.sequence_);
}

/// Carries the drains of the own data centre from the grant to the return:
/// starts or withdraws them, decides and calls the reboot, and probes.
class drain_driver : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* probe = std::get_if<probe_result>(&event))
        {
            take(context, *probe);
        }
        else if (auto const* reply = std::get_if<platform_call_result>(&event))
        {
            take(context, *reply);
        }
        else if (std::holds_alternative<tick>(event) && context.ready_)
        {
            drive(context);
        }
    }

private:
    /// What this controller saw of one drain; made anew by another one.
    struct progress
    {
        vm_phase phase_ = vm_phase::unassigned;
        /// Generation at the start of the drain.
        generation released_ = 0;
        time_point since_{};
        std::optional<time_point> probed_at_;
        std::uint64_t boot_ = 0;
        bool healthy_ = false;
        std::optional<time_point> accepted_at_;
        time_point call_not_before_{};
        duration call_backoff_ = call_backoff_first;
        bool counted_ = false;
    };

    void take(duty_context& context, probe_result const& probe)
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
            progress& seen = found->second;
            seen.healthy_ = probe.answered_ && probe.healthy_;
            seen.boot_ = probe.answered_ ? probe.boot_ : seen.boot_;
        }
    }

    void take(duty_context& context, platform_call_result const& reply)
    {
        auto const found = progress_.find(reply.vm_);
        vm_entry const* vm = context.fleet_.vms().find(reply.vm_);
        if (found != progress_.end() && vm != nullptr && reply.accepted_ &&
            reply.token_ == token_of(vm->reboot_))
        {
            found->second.accepted_at_ = context.now_;
        }
    }

    void drive(duty_context& context)
    {
        turn_.forget_idle(context.now_);
        std::map<vm_id, progress> kept;
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
            progress& seen = kept[vm.vm_];
            seen = known(context, vm);
            step(context, vm, seen);
        }
        progress_ = std::move(kept);
        forget_suspects(context);
    }

    progress known(duty_context& context, vm_entry const& vm) const
    {
        auto const found = progress_.find(vm.vm_);
        if (found != progress_.end() && found->second.phase_ == vm.phase_ &&
            found->second.released_ == vm.released_)
        {
            return found->second;
        }
        progress seen;
        seen.since_ = context.now_;
        seen.phase_ = vm.phase_;
        seen.released_ = vm.released_;
        return seen;
    }

    void forget_suspects(duty_context& context)
    {
        for (auto place = suspects_.begin(); place != suspects_.end();)
        {
            bool const gone = context.fleet_.vms().find(*place) == nullptr;
            place = gone ? suspects_.erase(place) : std::next(place);
        }
    }

    void step(duty_context& context, vm_entry const& vm, progress& seen)
    {
        switch (vm.phase_)
        {
        case vm_phase::granted:
            start(context, vm);
            return;
        case vm_phase::draining:
            finish_drain(context, vm, seen);
            return;
        default:
            bring_back(context, vm, seen);
            return;
        }
    }

    /// Why the VM may not be stopped at this time; empty: it may.
    static std::optional<reason> refuse_now(duty_context& context,
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
        if (!wave_may_stop(intended, wave->second, vm, context.wall_))
        {
            return reason::outside_window;
        }
        return std::nullopt;
    }

    /// Whether the pool would be short of its need and reserve by the fold, or
    /// of its need by what this controller's own probes say.
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
            reserve_of(usage, budget->second.reserve_, nullptr);
        auto const doubtful = std::count_if(
            suspects_.begin(), suspects_.end(),
            [&](vm_id const& id)
            {
                vm_entry const* other = context.fleet_.vms().find(id);
                return other != nullptr && other->pool_ == vm.pool_ &&
                       other->phase_ == vm_phase::serving && !other->down_;
            });
        std::uint32_t const need = budget->second.need_;
        return usage.available_ < need + reserve ||
               usage.available_ < need + static_cast<std::uint32_t>(doubtful);
    }

    void start(duty_context& context, vm_entry const& vm)
    {
        std::string const entity = "drain:" + vm.vm_.text();
        if (!turn_.due(context, entity, vm.generation_))
        {
            return;
        }
        auto refused = refuse_now(context, vm);
        if (!refused && is_short(context, vm))
        {
            refused = reason::grant_withdrawn;
        }
        if (refused)
        {
            withdraw(context, vm, *refused);
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

    void finish_drain(duty_context& context, vm_entry const& vm, progress& seen)
    {
        probe(context, vm, seen);
        std::string const entity = "drain:" + vm.vm_.text();
        bool const undo =
            refuse_now(context, vm).has_value() ||
            (!vm.down_ && !meets_need(context.fleet_.vms(),
                                      *context.config_.current(), vm.pool_));
        bool const known = seen.boot_ != 0 || vm.down_;
        bool const empty = vm.tasks_.empty() &&
                           context.fleet_.missing_acknowledgements(vm).empty();
        if ((!undo && !(empty && known)) ||
            !turn_.due(context, entity, vm.generation_))
        {
            return;
        }
        if (undo)
        {
            withdraw(context, vm, reason::drain_undone);
            return;
        }
        turn_.propose(context, entity,
                      reboot_decided{vm.vm_, vm.generation_, seen.boot_});
    }

    void bring_back(duty_context& context, vm_entry const& vm, progress& seen)
    {
        std::string const entity = "drain:" + vm.vm_.text();
        // The platform does a token once, so that any controller may call.
        duration const patience =
            4 * context.rank(entity) * context.settings_.rank_step_;
        if (context.now_ - seen.since_ < patience)
        {
            return;
        }
        call(context, vm, seen);
        probe(context, vm, seen);
        if (is_back(context, vm, seen))
        {
            if (turn_.due(context, entity, vm.generation_))
            {
                turn_.propose(context, entity,
                              vm_returned{vm.vm_, vm.generation_});
            }
            return;
        }
        give_up(context, vm, seen);
    }

    static void call(duty_context& context, vm_entry const& vm, progress& seen)
    {
        if (seen.accepted_at_ || context.now_ < seen.call_not_before_)
        {
            return;
        }
        seen.call_not_before_ = context.now_ + seen.call_backoff_;
        seen.call_backoff_ =
            std::min(2 * seen.call_backoff_, call_backoff_limit);
        context.actions_.emplace_back(call_platform{
            vm.vm_, platform_call_kind::reboot, token_of(vm.reboot_)});
    }

    static void probe(duty_context& context, vm_entry const& vm, progress& seen)
    {
        auto const& interval = context.settings_.probe_interval_;
        if (!seen.probed_at_ || context.now_ - *seen.probed_at_ >= interval)
        {
            seen.probed_at_ = context.now_;
            context.actions_.emplace_back(probe_vm{vm.vm_, vm.address_});
        }
    }

    static bool is_back(duty_context& context, vm_entry const& vm,
                        progress const& seen)
    {
        if (!seen.healthy_)
        {
            return false;
        }
        if (vm.boot_ != 0)
        {
            return seen.boot_ != vm.boot_;
        }
        return seen.accepted_at_ &&
               context.now_ - *seen.accepted_at_ >= reboot_settle;
    }

    void give_up(duty_context& context, vm_entry const& vm, progress& seen)
    {
        if (vm.down_ ||
            context.now_ - seen.since_ < context.settings_.return_timeout_)
        {
            return;
        }
        std::string const entity = "drain:" + vm.vm_.text();
        if (!turn_.due(context, entity, vm.generation_))
        {
            return;
        }
        if (!seen.counted_)
        {
            seen.counted_ = true;
            context.actions_.emplace_back(count_reason{reason::vm_not_back});
        }
        turn_.propose(context, entity,
                      vm_health{vm.vm_, vm.generation_, false});
    }

    std::map<vm_id, progress> progress_;
    /// VMs whose last probe by this controller failed.
    std::set<vm_id> suspects_;
    proposal_turn turn_;
};

registrar<controller_duty> const registered{
    "drain_driver", [](controller_settings const&)
    { return std::make_unique<drain_driver>(); }};

} // namespace

} // namespace cuminfold
