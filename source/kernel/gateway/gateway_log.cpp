#include "kernel/gateway/gateway_log.hpp"

#include "kernel/streams.hpp"

#include <type_traits>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

template <class Body, class = void>
struct has_vm : std::false_type
{
};

template <class Body>
struct has_vm<Body, std::void_t<decltype(std::declval<Body>().vm_)>>
    : std::true_type
{
};

/// Adds the VMs to which the entry's records refer.
void add_named_vms(log_entry const& entry, std::vector<vm_id>& vms)
{
    for (auto const& item : entry.records_)
    {
        std::visit(
            [&](auto const& body)
            {
                if constexpr (has_vm<decltype(body)>::value)
                {
                    vms.push_back(body.vm_);
                }
            },
            item.body_);
    }
}

} // namespace

gateway_log::gateway_log(gateway_settings const& settings, config_merger merger)
    : config_(std::move(merger)), config_tail_(config_stream(), settings.tail_),
      fleet_tail_(fleet_stream(), settings.tail_),
      fleet_writer_(fleet_stream(), settings.self_, settings.writer_)
{
}

std::vector<vm_id> gateway_log::handle(time_point now,
                                       log_read_result const& result)
{
    std::vector<vm_id> changed;
    if (result.status_ != log_read_status::unavailable)
    {
        last_contact_ = now;
    }
    if (result.stream_ == config_stream())
    {
        for (auto const& entry : config_tail_.take(now, result))
        {
            config_.apply(entry);
        }
    }
    else if (result.stream_ == fleet_stream())
    {
        for (auto& entry : fleet_tail_.take(now, result))
        {
            fleet_backlog_.push_back(std::move(entry));
        }
    }
    fold_fleet(changed);
    return changed;
}

void gateway_log::handle(time_point now, log_append_result const& result)
{
    fleet_writer_.take(now, result);
}

void gateway_log::fold_fleet(std::vector<vm_id>& changed)
{
    while (!fleet_backlog_.empty() &&
           fleet_.apply(fleet_backlog_.front(), config_))
    {
        fleet_writer_.read_back(fleet_backlog_.front());
        add_named_vms(fleet_backlog_.front(), changed);
        fleet_backlog_.pop_front();
    }
}

void gateway_log::poll(gateway_context& context)
{
    if (!started_)
    {
        started_ = true;
        last_contact_ = context.now_;
    }
    for (auto* tail : {&config_tail_, &fleet_tail_})
    {
        if (auto read = tail->poll(context.now_))
        {
            context.act(std::move(*read));
        }
    }
    if (auto append = fleet_writer_.poll(context.now_))
    {
        context.act(std::move(*append));
    }
}

bool gateway_log::is_unreachable_for(time_point now, duration time) const
{
    return started_ && now - last_contact_ >= time;
}

} // namespace cuminfold
