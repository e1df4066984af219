#include "kernel/fleet/fleet_state.hpp"

#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Events kept per VM.
constexpr std::size_t max_history_events = 16;

/// The configuration floor after a record that refers to offset `named`.
log_offset raise_floor(log_offset floor, log_offset named)
{
    bool const higher =
        named != no_offset && (floor == no_offset || named > floor);
    return higher ? named : floor;
}

} // namespace

bool fleet_state::apply(log_entry const& entry, config_state const& config)
{
    if (entry.offset_ != data_.next_ ||
        check_config(entry, config) != config_availability::known)
    {
        return false;
    }
    verdicts_.clear();
    for (auto const& item : entry.records_)
    {
        data_.config_floor_ =
            raise_floor(data_.config_floor_, item.config_offset_);
        ++data_.order_;
        verdicts_.push_back({item.id_, std::nullopt});
        if (!data_.window_.accept(item.id_))
        {
            ignore(reason::record_duplicate);
            continue;
        }
        apply_record(item, entry.offset_, *config.at(data_.config_floor_));
    }
    ++data_.next_;
    return true;
}

fleet_state::config_availability
fleet_state::check_config(log_entry const& entry,
                          config_state const& config) const
{
    log_offset floor = data_.config_floor_;
    for (auto const& item : entry.records_)
    {
        floor = raise_floor(floor, item.config_offset_);
        if (floor != no_offset && floor >= config.next())
        {
            return config_availability::not_yet_read;
        }
        if (!config.at(floor))
        {
            return config_availability::compacted;
        }
    }
    return config_availability::known;
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
    auto const required =
        data_.gateways_.registered_before(vm.data_centre_, vm.released_order_);
    for (auto const& gateway : required)
    {
        if (vm.acknowledged_.count(gateway) == 0)
        {
            missing.insert(gateway);
        }
    }
    return missing;
}

std::uint64_t fleet_state::ignored(reason cause) const
{
    return ignored_[static_cast<std::size_t>(cause)];
}

void fleet_state::apply_record(record const& item, log_offset offset,
                               intended_state const& intended)
{
    fold_context const at{item, offset, intended};
    std::visit([&](auto const& body) { fold(body, at); }, item.body_);
}

void fleet_state::ignore(reason cause)
{
    ++ignored_[static_cast<std::size_t>(cause)];
    if (!verdicts_.empty())
    {
        verdicts_.back().ignored_ = cause;
    }
}

void fleet_state::append_history(vm_id const& vm, std::string what)
{
    data_.vms_.annotate(
        vm,
        [&](vm_entry& entry)
        {
            entry.history_.push_back({data_.order_, std::move(what)});
            if (entry.history_.size() > max_history_events)
            {
                entry.history_.pop_front();
            }
        });
}

vm_entry const* fleet_state::find_at_generation(vm_id const& vm,
                                                generation expected)
{
    vm_entry const* entry = data_.vms_.find(vm);
    if (entry == nullptr || entry->generation_ != expected)
    {
        ignore(reason::record_stale);
        return nullptr;
    }
    return entry;
}

void fleet_state::fold(gateway_registered const& body, fold_context const& at)
{
    gateway_entry entry;
    entry.gateway_ = at.record_.id_.writer_;
    entry.data_centre_ = body.data_centre_;
    entry.address_ = body.address_;
    entry.registered_order_ = data_.order_;
    auto const known = data_.gateways_.all().find(entry.gateway_.node_);
    if (known != data_.gateways_.all().end() &&
        known->second.gateway_ == entry.gateway_)
    {
        // The same incarnation may have held requests since it first
        // registered, so it must still acknowledge releases and drains of that
        // time.
        entry.registered_order_ = known->second.registered_order_;
    }
    data_.gateways_.register_gateway(std::move(entry));
}

void fleet_state::fold(gateway_left const& body, fold_context const& at)
{
    if (body.self_reported_ && body.gateway_ != at.record_.id_.writer_)
    {
        ignore(reason::record_stale);
        return;
    }
    if (!data_.gateways_.unregister_gateway(body.gateway_))
    {
        ignore(reason::record_stale);
    }
}

void fleet_state::fold(unknown_body const& body, fold_context const&)
{
    data_.unknown_kinds_.insert(body.kind_);
    ignore(reason::record_unknown_kind);
}

} // namespace cuminfold
