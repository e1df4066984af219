#include "kernel/cell/vm_order_book.hpp"

#include <utility>

namespace cuminfold
{

vm_order_book::vm_order_book(duration hold_time, duration min_down_time)
    : hold_time_(hold_time), min_down_time_(min_down_time)
{
}

void vm_order_book::restore(vm_id const& vm, vm_order_record record,
                            time_point now)
{
    auto& order = entries_[vm];
    order.restored_ = true;
    bool const was_begun = record.maintained_.count(record.wave_) != 0;
    if (record.pending_)
    {
        order.held_until_ = now + hold_time_;
        order.unsettled_ = record.wave_ != 0;
        order.unsettled_wave_ = record.wave_;
        // An order that the platform has answered begins nothing later.
        order.unsettled_until_ =
            (was_begun ? now : order.held_until_) + min_down_time_;
    }
    order.record_ = std::move(record);
}

vm_order_record const& vm_order_book::plan(vm_id const& vm, wave_number wave)
{
    auto& order = entries_[vm];
    order.record_.pending_ = true;
    order.record_.wave_ = wave;
    return order.record_;
}

vm_order_record const& vm_order_book::set_maintained(vm_id const& vm,
                                                     wave_number wave)
{
    auto& order = entries_[vm];
    order.record_.maintained_.insert(wave);
    return order.record_;
}

void vm_order_book::sent(vm_id const& vm, time_point now)
{
    auto& order = entries_[vm];
    order.restored_ = false;
    order.held_until_ = now + hold_time_;
}

void vm_order_book::listed(std::map<vm_id, listed_vm> const& vms,
                           std::function<bool(vm_id const&)> const& is_gone,
                           time_point requested_at)
{
    for (auto& item : entries_)
    {
        auto& order = item.second;
        if (!order.unsettled_)
        {
            continue;
        }
        auto const found = vms.find(item.first);
        bool const done =
            found == vms.end()
                ? is_gone(item.first)
                : found->second.status_ != vm_status::maintained &&
                      requested_at > order.unsettled_until_;
        order.unsettled_ = !done;
    }
}

bool vm_order_book::is_held(vm_id const& vm, time_point now) const
{
    auto const found = entries_.find(vm);
    return found != entries_.end() && found->second.restored_ &&
           now < found->second.held_until_;
}

bool vm_order_book::is_maintained(vm_id const& vm, wave_number wave) const
{
    auto const found = entries_.find(vm);
    return found != entries_.end() &&
           found->second.record_.maintained_.count(wave) != 0;
}

bool vm_order_book::may_be_down(vm_id const& vm, wave_number wave) const
{
    auto const found = entries_.find(vm);
    return found != entries_.end() && found->second.unsettled_ &&
           (found->second.unsettled_wave_ == wave ||
            found->second.unsettled_wave_ == any_wave);
}

bool vm_order_book::may_be_down(vm_id const& vm) const
{
    auto const found = entries_.find(vm);
    return found != entries_.end() && found->second.unsettled_;
}

void vm_order_book::expire(
    std::function<bool(vm_id const&)> const& is_busy,
    std::function<void(vm_id const&, std::string const&)> const& write,
    time_point now)
{
    for (auto place = entries_.begin(); place != entries_.end();)
    {
        auto& order = place->second;
        if (order.unsettled_ || now < order.held_until_ ||
            is_busy(place->first))
        {
            ++place;
            continue;
        }
        if (order.record_.pending_)
        {
            order.record_.pending_ = false;
            order.record_.wave_ = 0;
            write(place->first, encode(order.record_));
        }
        place = order.record_.maintained_.empty() ? entries_.erase(place)
                                                  : std::next(place);
    }
}

void vm_order_book::forget_wave(
    wave_number wave,
    std::function<void(vm_id const&, std::string const&)> const& write)
{
    for (auto& item : entries_)
    {
        if (item.second.record_.maintained_.erase(wave) != 0)
        {
            write(item.first, encode(item.second.record_));
        }
    }
}

} // namespace cuminfold
