#include "kernel/cell/fleet_world.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cuminfold
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{20};
constexpr milliseconds maintenance_time{2000};
constexpr milliseconds entry_delay{100};

std::uint32_t number_of(vm_id const& vm)
{
    return static_cast<std::uint32_t>(std::stoul(vm.text().substr(2)));
}

} // namespace

fleet_world::fleet_world(std::uint32_t workers, std::uint32_t seed)
    : jobs_(seed, workers), plan_({}, jobs_.owner())
{
    for (std::uint32_t i = 0; i < workers; ++i)
    {
        listed_vm vm;
        vm.vm_ = vm_id{"vm" + std::to_string(i)};
        vm.pool_ = pool_name{"tally"};
        vm.status_ = vm_status::up;
        vm.worker_ = jobs_.worker(i).entry_.id_;
        vms_.push_back(vm);
    }
    jobs_.run_for(milliseconds{100});
}

void fleet_world::take_over()
{
    jobs_.take_over();
    next_plan_.emplace(fleet_plan_options{}, jobs_.owner());
}

void fleet_world::set_wave(std::uint32_t vms, std::uint32_t at_once)
{
    std::vector<vm_id> names;
    for (std::uint32_t i = 0; i < vms; ++i)
    {
        names.push_back(vms_[i].vm_);
    }
    set_wave(1, std::move(names), at_once);
}

void fleet_world::set_wave(wave_number number, std::vector<vm_id> vms,
                           std::uint32_t at_once)
{
    wave_order wave;
    wave.number_ = number;
    wave.max_at_once_ = at_once;
    wave.vms_ = std::move(vms);
    plan().set_waves({{number, wave}}, jobs_.now());
}

void fleet_world::replace_worker(std::uint32_t number)
{
    jobs_.crash(number);
    jobs_.cut(number, false);
    vms_[number].worker_ = jobs_.worker(number).entry_.id_;
}

void fleet_world::run_for(milliseconds time)
{
    for (auto const end = jobs_.now() + time; jobs_.now() < end;)
    {
        jobs_.run_for(tick_interval);
        plan().tick(jobs_.now(), jobs_.now());
        for (auto const& action : plan().take_actions())
        {
            carry_out(action);
        }
        restart_vms();
        answer_lists();
    }
}

void fleet_world::answer_lists()
{
    while (!lists_.empty() && lists_.begin()->first <= jobs_.now())
    {
        auto const answer = std::move(lists_.begin()->second);
        lists_.erase(lists_.begin());
        plan().listed(answer.second, answer.first, jobs_.now());
    }
}

void fleet_world::maintain(maintain_vm const& order)
{
    if (throttled_orders_ > 0)
    {
        --throttled_orders_;
        plan().maintained(order.vm_, order.wave_, vm_outcome::throttled,
                          jobs_.now());
        return;
    }
    if (rejected_orders_ > 0)
    {
        --rejected_orders_;
        plan().maintained(order.vm_, order.wave_, vm_outcome::refused,
                          jobs_.now());
        return;
    }
    auto const number = number_of(order.vm_);
    auto const& running = jobs_.worker(number).running_;
    tasks_ended_by_orders_ += static_cast<std::size_t>(std::count_if(
        running.begin(), running.end(),
        [](auto const& run) { return run.second.ends_ == time_point::max(); }));
    jobs_.crash(number);
    jobs_.cut(number, true);
    vms_[number].status_ = vm_status::maintained;
    vms_[number].worker_.clear();
    down_[order.vm_] = jobs_.now();
    ordered_.emplace(order.vm_, jobs_.now());
    max_down_ = std::max(max_down_, down_.size());
    if (delays_entries_)
    {
        auto entry = jobs_.worker(number).entry_;
        entry.id_ += "-before";
        delayed_entries_.emplace(jobs_.now() + entry_delay, entry);
    }
    plan().maintained(order.vm_, order.wave_, vm_outcome::done, jobs_.now());
}

void fleet_world::carry_out(fleet_action const& action)
{
    if (std::holds_alternative<list_vms>(action) && is_silent_)
    {
        plan().list_failed(jobs_.now());
    }
    else if (std::holds_alternative<list_vms>(action))
    {
        vm_list list;
        list.is_complete_ = !has_malformed_rows_;
        std::copy_if(vms_.begin(), vms_.end(), std::back_inserter(list.vms_),
                     [&](listed_vm const& vm)
                     { return unlisted_.count(vm.vm_) == 0; });
        lists_.emplace(jobs_.now() + list_latency_,
                       std::make_pair(jobs_.now(), std::move(list)));
        answer_lists();
    }
    else if (auto const* const order = std::get_if<maintain_vm>(&action))
    {
        maintain(*order);
    }
    else if (auto const* const move = std::get_if<move_vm>(&action))
    {
        plan().moved(move->vm_, vm_outcome::throttled, jobs_.now());
    }
    else if (auto const* const report = std::get_if<report_wave>(&action))
    {
        reported_.insert(report->completed_);
        if (report->completed_)
        {
            completed_.insert(report->wave_);
        }
        plan().reported(report->wave_, true);
    }
    else if (auto const* const line = std::get_if<log_decision>(&action))
    {
        ++decisions_[line->event_];
    }
}

void fleet_world::restart_vms()
{
    while (!delayed_entries_.empty() &&
           delayed_entries_.begin()->first <= jobs_.now())
    {
        jobs_.owner().on_worker_listed(delayed_entries_.begin()->second,
                                       jobs_.now());
        delayed_entries_.erase(delayed_entries_.begin());
    }
    for (auto place = down_.begin(); place != down_.end();)
    {
        if (jobs_.now() - place->second < maintenance_time)
        {
            ++place;
            continue;
        }
        auto const number = number_of(place->first);
        jobs_.cut(number, false);
        vms_[number].status_ = vm_status::up;
        vms_[number].worker_ = jobs_.worker(number).entry_.id_;
        place = down_.erase(place);
    }
}

} // namespace cuminfold
