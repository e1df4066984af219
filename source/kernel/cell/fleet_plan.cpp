#include "kernel/cell/fleet_plan.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

/// Delay before an order is sent again after a refusal or without an answer.
constexpr duration retry_pause = std::chrono::milliseconds{300};

/// Interval at which the load of each pool is logged.
constexpr duration load_log_interval = std::chrono::seconds{1};

/// Backlog and late backlog are in worker-seconds, the rate is in
/// worker-seconds per second; the other values are numbers of workers
/// or VMs.
std::string describe(pool_load const& load)
{
    std::ostringstream text;
    text.precision(3);
    text << "workers=" << load.workers_ << " incoming=" << load.incoming_
         << " fixed=" << load.fixed_ << " free=" << load.free_.size()
         << " wanted=" << target_workers(load) << " backlog=" << load.backlog_
         << " late=" << load.late_backlog_ << " rate=" << load.rate_;
    return text.str();
}

} // namespace

fleet_plan::fleet_plan(fleet_plan_options options, cell& owned)
    : options_(options), cell_(owned),
      orders_(options.order_pause_, options.min_down_time_),
      absences_(options.min_absence_)
{
}

void fleet_plan::set_waves(std::map<wave_number, wave_order> const& waves,
                           time_point now)
{
    for (auto const& item : waves)
    {
        auto& wave = waves_[item.first];
        if (wave.order_.vms_.empty())
        {
            // The order was not known before, so a list is requested at once.
            next_list_ = now;
            list_wanted_since_ = now;
        }
        if (!wave.completed_reported_)
        {
            auto const& known = wave.order_.vms_;
            for (auto const& vm : item.second.vms_)
            {
                if (std::find(known.begin(), known.end(), vm) == known.end())
                {
                    absences_.watch(vm, now);
                }
            }
        }
        wave.order_ = item.second;
    }
}

void fleet_plan::listed(vm_list list, time_point requested_at, time_point now)
{
    list_in_flight_ = false;
    list_received_ = true;
    list_requested_at_ = requested_at;
    bool const busy = !operations_.empty() ||
                      std::any_of(waves_.begin(), waves_.end(),
                                  [](auto const& wave)
                                  { return !wave.second.completed_reported_; });
    next_list_ = requested_at < list_wanted_since_ ? now
                 : busy ? now + options_.list_interval_
                        : now + options_.idle_list_interval_;
    vms_.clear();
    for (auto& vm : list.vms_)
    {
        auto const id = vm.vm_;
        cell_.on_vm_listed(id, vm.worker_, requested_at, now);
        vms_[id] = std::move(vm);
    }
    if (list.is_complete_)
    {
        cell_.on_vms_listed(vms_, requested_at);
    }
    absences_.retain([this](vm_id const& vm) { return is_watched(vm); });
    absences_.listed(vms_, list.is_complete_, requested_at);
    orders_.listed(
        vms_, [this](vm_id const& vm) { return is_gone(vm); }, requested_at);
    for (auto place = operations_.begin(); place != operations_.end();)
    {
        auto const found = vms_.find(place->first);
        bool const is_up = place->second.ordered_ &&
                           requested_at > place->second.ordered_at_ +
                                              options_.min_down_time_ &&
                           found != vms_.end() &&
                           found->second.status_ == vm_status::up;
        if (is_up || is_gone(place->first))
        {
            cell_.end_reservation(place->first, now);
            place = operations_.erase(place);
        }
        else
        {
            ++place;
        }
    }
}

void fleet_plan::list_failed(time_point now)
{
    list_in_flight_ = false;
    next_list_ = now + options_.list_interval_;
}

void fleet_plan::restore_order(vm_id const& vm, std::string const& text,
                               time_point now)
{
    orders_.restore(vm, decode_vm_order_record(text), now);
    absences_.watch(vm, now);
}

void fleet_plan::restore_wave(wave_number wave)
{
    waves_[wave].running_reported_ = true;
    waves_[wave].completed_reported_ = true;
}

std::uint64_t fleet_plan::append_order_record(vm_id const& vm, std::string text)
{
    cell_record record;
    record.kind_ = record_kind::vm_order;
    record.name_ = vm.text();
    if (!text.empty())
    {
        record.text_ = std::move(text);
    }
    return cell_.append_record(std::move(record));
}

void fleet_plan::append_wave_record(wave_number wave)
{
    cell_record record;
    record.kind_ = record_kind::wave;
    record.name_ = std::to_string(wave);
    record.text_ = "completed";
    cell_.append_record(std::move(record));
    orders_.forget_wave(wave, [this](vm_id const& vm, std::string const& text)
                        { append_order_record(vm, text); });
}

void fleet_plan::begin_operation(vm_id const& vm, vm_operation operation)
{
    operation.record_ =
        append_order_record(vm, encode(orders_.plan(vm, operation.wave_)));
    operations_[vm] = operation;
    absences_.watch(vm, operation.reserved_at_);
    cell_.reserve(vm);
}

void fleet_plan::end_operation(vm_id const& vm, time_point now)
{
    cell_.end_reservation(vm, now);
    operations_.erase(vm);
}

bool fleet_plan::may_reserve(vm_id const& vm, time_point now) const
{
    auto const next = next_reservations_.find(vm);
    return operations_.count(vm) == 0 && !orders_.is_held(vm, now) &&
           !orders_.may_be_down(vm) &&
           (next == next_reservations_.end() || now >= next->second);
}

void fleet_plan::give_back(vm_id const& vm, char const* cause, time_point now)
{
    auto const age = now - operations_.at(vm).reserved_at_;
    actions_.emplace_back(log_decision{
        "reservation_given_back", vm.text(),
        std::string(cause) +
            " wave=" + std::to_string(operations_.at(vm).wave_) +
            " ms=" + in_milliseconds(age) +
            " tasks=" + std::to_string(cell_.tasks_on(vm)) + " long_running=" +
            std::to_string(cell_.long_running_tasks_on(vm))});
    end_operation(vm, now);
    next_reservations_[vm] = now + options_.reservation_pause_;
}

void fleet_plan::review_reservations(time_point now)
{
    if (now < next_reservation_review_)
    {
        return;
    }
    next_reservation_review_ = now + options_.reservation_review_interval_;
    for (auto next = next_reservations_.begin();
         next != next_reservations_.end();)
    {
        next = now < next->second ? std::next(next)
                                  : next_reservations_.erase(next);
    }
    std::set<vm_id> releasable;
    std::set<vm_id> stuck;
    for (auto& item : operations_)
    {
        auto& operation = item.second;
        if (operation.ordered_ || operation.order_in_flight_ ||
            now < operation.may_begin_until_)
        {
            continue;
        }
        releasable.insert(item.first);
        if (cell_.can_be_emptied(item.first, now))
        {
            operation.emptiable_at_ = now;
        }
        else if (now - operation.emptiable_at_ >= options_.drain_timeout_)
        {
            stuck.insert(item.first);
        }
    }
    auto const contended = cell_.contended_vms(releasable, now);
    for (auto const& vm : contended)
    {
        give_back(vm, "room_needed", now);
        stuck.erase(vm);
    }
    for (auto const& vm : stuck)
    {
        give_back(vm, "cannot_be_emptied", now);
    }
}

bool fleet_plan::handle_order_result(vm_id const& vm, vm_outcome outcome,
                                     time_point now)
{
    auto const found = operations_.find(vm);
    if (found == operations_.end())
    {
        return false;
    }
    auto& operation = found->second;
    operation.order_in_flight_ = false;
    operation.next_try_ = now + retry_pause;
    if (outcome == vm_outcome::done)
    {
        operation.ordered_ = true;
        operation.ordered_at_ = now;
    }
    if (outcome == vm_outcome::no_answer)
    {
        operation.may_begin_until_ = now + options_.order_pause_;
    }
    bool const had_no_effect =
        outcome == vm_outcome::throttled || outcome == vm_outcome::refused;
    if (had_no_effect && now >= operation.may_begin_until_)
    {
        cell_.on_vm_order_rejected(vm);
    }
    return true;
}

void fleet_plan::maintained(vm_id const& vm, wave_number wave,
                            vm_outcome outcome, time_point now)
{
    if (!handle_order_result(vm, outcome, now))
    {
        return;
    }
    switch (outcome)
    {
    case vm_outcome::done:
        append_order_record(vm, encode(orders_.set_maintained(vm, wave)));
        actions_.emplace_back(log_decision{"vm_maintained", vm.text(),
                                           "wave=" + std::to_string(wave)});
        return;
    case vm_outcome::refused:
        actions_.emplace_back(log_decision{"maintenance_refused", vm.text(),
                                           "wave=" + std::to_string(wave)});
        // An order without an answer may still be carried out, so that the VM
        // stays reserved.
        if (now >= operations_.at(vm).may_begin_until_)
        {
            end_operation(vm, now);
            next_reservations_[vm] = now + options_.reservation_pause_;
        }
        return;
    case vm_outcome::busy:
    case vm_outcome::fenced:
    case vm_outcome::throttled:
    case vm_outcome::no_answer:
        actions_.emplace_back(log_decision{
            "maintenance_not_begun", vm.text(),
            "outcome=" + std::to_string(static_cast<int>(outcome))});
        return;
    }
}

void fleet_plan::moved(vm_id const& vm, vm_outcome outcome, time_point now)
{
    if (!handle_order_result(vm, outcome, now))
    {
        return;
    }
    if (outcome == vm_outcome::done)
    {
        actions_.emplace_back(log_decision{"vm_moved", vm.text(),
                                           operations_.at(vm).target_->text()});
    }
    else
    {
        actions_.emplace_back(log_decision{
            "move_not_begun", vm.text(),
            "outcome=" + std::to_string(static_cast<int>(outcome))});
        if (outcome != vm_outcome::no_answer &&
            outcome != vm_outcome::throttled)
        {
            end_operation(vm, now);
        }
    }
}

void fleet_plan::reported(wave_number wave, bool stored)
{
    auto const found = waves_.find(wave);
    if (found == waves_.end())
    {
        return;
    }
    auto& state = found->second;
    state.report_in_flight_ = false;
    if (!stored)
    {
        return;
    }
    if (!state.running_reported_)
    {
        state.running_reported_ = true;
    }
    else if (!state.completed_reported_)
    {
        state.completed_reported_ = true;
        append_wave_record(wave);
    }
}

bool fleet_plan::is_standby(listed_vm const& vm) const
{
    auto const found = cell_.config().pools_.find(vm.pool_);
    return found != cell_.config().pools_.end() && found->second.standby_;
}

bool fleet_plan::is_down_for(wave_number wave, vm_id const& vm) const
{
    auto const operation = operations_.find(vm);
    if (operation != operations_.end())
    {
        return operation->second.wave_ == wave && !operation->second.target_;
    }
    auto const listed = vms_.find(vm);
    return orders_.may_be_down(vm, wave) ||
           (listed != vms_.end() &&
            listed->second.status_ == vm_status::maintained);
}

std::uint32_t fleet_plan::maintenance_count(wave_state const& wave) const
{
    auto const& vms = wave.order_.vms_;
    return static_cast<std::uint32_t>(std::count_if(
        vms.begin(), vms.end(),
        [&](vm_id const& vm) { return is_down_for(wave.order_.number_, vm); }));
}

void fleet_plan::select_vms(wave_state& wave, time_point now)
{
    auto in_maintenance = maintenance_count(wave);
    if (in_maintenance >= wave.order_.max_at_once_)
    {
        return;
    }
    std::vector<std::pair<std::uint64_t, vm_id>> candidates;
    for (auto const& vm : wave.order_.vms_)
    {
        auto const found = vms_.find(vm);
        if (found == vms_.end() ||
            orders_.is_maintained(vm, wave.order_.number_) ||
            !may_reserve(vm, now) || found->second.status_ != vm_status::up)
        {
            continue;
        }
        // VMs on standby come first, then those with the fewest tasks.
        std::uint64_t const cost =
            is_standby(found->second) ? 0 : 1 + cell_.tasks_on(vm);
        candidates.emplace_back(cost, vm);
    }
    std::sort(candidates.begin(), candidates.end());
    std::map<pool_name, std::uint32_t> unavailable;
    std::map<pool_name, std::uint32_t> pool_size;
    for (auto const& vm : vms_)
    {
        if (vm.second.status_ == vm_status::moving)
        {
            // It has not served its pool yet, so that the pool does not lack
            // it. After a change of demand most VMs of a pool are moving.
            continue;
        }
        ++pool_size[vm.second.pool_];
        unavailable[vm.second.pool_] +=
            operations_.count(vm.first) != 0 || orders_.may_be_down(vm.first) ||
                    vm.second.status_ != vm_status::up
                ? 1
                : 0;
    }
    for (auto const& candidate : candidates)
    {
        if (in_maintenance >= wave.order_.max_at_once_)
        {
            return;
        }
        auto const& vm = vms_.at(candidate.second);
        // At most a third of a pool's VMs are unavailable at a time, so pools
        // of one or two VMs are never maintained. Standby pools are exempt.
        bool const exceeds_limit =
            !is_standby(vm) &&
            (unavailable[vm.pool_] + 1) * 3 > pool_size[vm.pool_];
        if (exceeds_limit)
        {
            continue;
        }
        if (!cell_.can_be_emptied(candidate.second, now))
        {
            next_reservations_[candidate.second] =
                now + options_.emptying_retry_interval_;
            continue;
        }
        ++unavailable[vm.pool_];
        ++in_maintenance;
        vm_operation operation;
        operation.wave_ = wave.order_.number_;
        operation.reserved_at_ = now;
        operation.emptiable_at_ = now;
        begin_operation(candidate.second, operation);
    }
}

bool fleet_plan::is_gone(vm_id const& vm) const
{
    return absences_.is_gone(vm) && !cell_.has_registered_worker(vm);
}

bool fleet_plan::is_watched(vm_id const& vm) const
{
    auto const has_vm = [&](auto const& item)
    {
        auto const& vms = item.second.order_.vms_;
        return !item.second.completed_reported_ &&
               std::find(vms.begin(), vms.end(), vm) != vms.end();
    };
    return operations_.count(vm) != 0 || orders_.may_be_down(vm) ||
           std::any_of(waves_.begin(), waves_.end(), has_vm);
}

void fleet_plan::report(wave_state& wave)
{
    if (wave.report_in_flight_ || wave.completed_reported_)
    {
        return;
    }
    std::size_t gone = 0;
    bool all = true;
    for (auto const& vm : wave.order_.vms_)
    {
        bool const is_maintained =
            orders_.is_maintained(vm, wave.order_.number_);
        gone += !is_maintained && is_gone(vm) ? 1 : 0;
        all = all && (is_maintained || is_gone(vm));
    }
    if (!wave.running_reported_ || all)
    {
        bool const is_completed = wave.running_reported_ && all;
        wave.report_in_flight_ = true;
        actions_.emplace_back(report_wave{wave.order_.number_, is_completed});
        if (is_completed)
        {
            actions_.emplace_back(log_decision{
                "wave_completed", std::to_string(wave.order_.number_),
                "vms=" + std::to_string(wave.order_.vms_.size()) +
                    " gone=" + std::to_string(gone)});
        }
    }
}

void fleet_plan::advance_waves(time_point now)
{
    for (auto& item : waves_)
    {
        auto& wave = item.second;
        if (!wave.completed_reported_ && !wave.order_.vms_.empty())
        {
            select_vms(wave, now);
            report(wave);
        }
    }
}

void fleet_plan::end_finished_moves(time_point now)
{
    std::vector<vm_id> finished;
    for (auto const& item : operations_)
    {
        // Only moves end here. After an order the store may still show the
        // entry of the VM's previous incarnation. The limit on VMs that are
        // down for a wave must hold even then, so maintenance ends only in
        // `listed()`, by the platform's list.
        if (item.second.ordered_ && item.second.target_ &&
            cell_.has_new_incarnation(item.first, item.second.ordered_at_ +
                                                      options_.min_down_time_))
        {
            finished.push_back(item.first);
        }
    }
    for (auto const& vm : finished)
    {
        end_operation(vm, now);
    }
}

void fleet_plan::balance(time_point now)
{
    std::map<pool_name, std::uint32_t> planned_moves;
    std::map<pool_name, std::uint32_t> ordered_moves;
    for (auto const& item : operations_)
    {
        if (item.second.target_)
        {
            ++planned_moves[*item.second.target_];
            ordered_moves[*item.second.target_] += item.second.ordered_ ? 1 : 0;
        }
    }
    // Moves that are not ordered yet do not count as capacity of the target
    // pool, because their VMs may still run tasks for a long time.
    cell_.set_incoming(ordered_moves);
    if (now < next_balance_)
    {
        return;
    }
    next_balance_ = now + options_.balance_interval_;
    auto loads = cell_.loads(now);
    for (auto& load : loads)
    {
        load.incoming_ = planned_moves[load.pool_];
        auto const cannot_move = [&](vm_id const& vm)
        {
            auto const found = vms_.find(vm);
            return !may_reserve(vm, now) || found == vms_.end() ||
                   found->second.status_ != vm_status::up;
        };
        for (auto* const vms : {&load.free_, &load.emptying_})
        {
            vms->erase(std::remove_if(vms->begin(), vms->end(), cannot_move),
                       vms->end());
        }
        if (load.standby_)
        {
            // VMs on standby run no worker, so the cell does not count them.
            for (auto const& vm : vms_)
            {
                if (vm.second.pool_ == load.pool_ && !cannot_move(vm.first))
                {
                    load.free_.push_back(vm.first);
                }
            }
            load.workers_ = static_cast<std::uint32_t>(load.free_.size());
        }
    }
    if (now >= next_load_log_)
    {
        next_load_log_ = now + load_log_interval;
        for (auto const& load : loads)
        {
            actions_.emplace_back(
                log_decision{"pool_load", load.pool_.text(), describe(load)});
        }
    }
    for (auto const& move : plan_moves(loads))
    {
        vm_operation operation;
        operation.target_ = move.to_;
        operation.reserved_at_ = now;
        operation.emptiable_at_ = now;
        begin_operation(move.vm_, operation);
        actions_.emplace_back(
            log_decision{"move_planned", move.vm_.text(),
                         move.from_.text() + ">" + move.to_.text()});
    }
}

void fleet_plan::log_maintenance_order(vm_id const& vm, wave_number wave,
                                       time_point now)
{
    auto const& state = waves_.at(wave);
    actions_.emplace_back(log_decision{
        "maintenance_ordered", vm.text(),
        "wave=" + std::to_string(wave) +
            " down_or_reserved=" + std::to_string(maintenance_count(state)) +
            " max_at_once=" + std::to_string(state.order_.max_at_once_) +
            " list_age_ms=" + in_milliseconds(now - list_requested_at_)});
}

void fleet_plan::advance_operations(time_point now, bool can_send_orders)
{
    for (auto& item : operations_)
    {
        auto& operation = item.second;
        if (operation.ordered_ || operation.order_in_flight_ ||
            now < operation.next_try_)
        {
            continue;
        }
        auto const tasks = cell_.tasks_on(item.first);
        if (tasks > 0)
        {
            cell_.evacuate(item.first, now);
        }
        bool const may_wait =
            now - operation.reserved_at_ < options_.drain_timeout_;
        bool const may_be_ordered =
            tasks == 0 || (!may_wait && !operation.target_ &&
                           cell_.long_running_tasks_on(item.first) == 0);
        if (!may_be_ordered || !can_send_orders ||
            orders_.is_held(item.first, now) ||
            !cell_.is_stored(operation.record_))
        {
            continue;
        }
        operation.order_in_flight_ = true;
        orders_.sent(item.first, now);
        cell_.on_vm_order_sent(item.first, now);
        if (operation.target_)
        {
            actions_.emplace_back(move_vm{item.first, *operation.target_});
        }
        else
        {
            log_maintenance_order(item.first, operation.wave_, now);
            actions_.emplace_back(maintain_vm{item.first, operation.wave_});
        }
    }
}

void fleet_plan::tick(time_point now, time_point confirmed)
{
    if (!list_in_flight_ && now >= next_list_)
    {
        list_in_flight_ = true;
        actions_.emplace_back(list_vms{});
    }
    if (!list_received_ || now < next_review_)
    {
        return;
    }
    next_review_ = now + options_.review_interval_;
    orders_.expire([this](vm_id const& vm)
                   { return operations_.count(vm) != 0; },
                   [this](vm_id const& vm, std::string const& text)
                   { append_order_record(vm, text); },
                   now);
    end_finished_moves(now);
    review_reservations(now);
    advance_waves(now);
    balance(now);
    advance_operations(now, now - confirmed < options_.confirmation_limit_);
}

std::vector<fleet_action> fleet_plan::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace cuminfold
