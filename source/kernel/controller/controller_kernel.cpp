#include "kernel/controller/controller_kernel.hpp"

#include "kernel/registry.hpp"
#include "kernel/streams.hpp"

#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

member_news describe_self(controller_settings const& settings)
{
    member_news news;
    news.node_ = settings.self_;
    news.role_ = node_role::controller;
    news.data_centre_ = settings.data_centre_;
    news.address_ = settings.address_;
    return news;
}

} // namespace

controller_kernel::controller_kernel(controller_settings settings,
                                     config_merger merger,
                                     std::vector<std::string> const& duties)
    : settings_(std::move(settings)), config_(std::move(merger)),
      members_(describe_self(settings_)),
      config_tail_(config_stream(), settings_.tail_),
      fleet_tail_(fleet_stream(), settings_.tail_),
      config_writer_(config_stream(), settings_.self_, settings_.writer_),
      fleet_writer_(fleet_stream(), settings_.self_, settings_.writer_),
      random_(settings_.seed_)
{
    auto const& table = registry<controller_duty>::instance();
    for (auto const& name : duties)
    {
        duties_.push_back(table.find(name)(settings_));
    }
}

std::vector<controller_action>
controller_kernel::handle(time_point now, controller_event const& event)
{
    actions_.clear();
    take(now, event);
    run_duties(now, event);
    settle_changes(now);
    poll_log(now);
    return std::move(actions_);
}

bool controller_kernel::ready() const noexcept
{
    return config_tail_.caught_up() && fleet_tail_.caught_up() &&
           fleet_backlog_.empty();
}

void controller_kernel::take(time_point now, controller_event const& event)
{
    if (auto const* passed = std::get_if<tick>(&event))
    {
        wall_ = passed->wall_;
    }
    else if (auto const* list = std::get_if<vm_list>(&event))
    {
        list_ = *list;
    }
    else if (auto const* read = std::get_if<log_read_result>(&event))
    {
        take_log(now, *read);
    }
    else if (auto const* reply = std::get_if<log_append_result>(&event))
    {
        config_writer_.take(now, *reply);
        fleet_writer_.take(now, *reply);
    }
    else if (auto const* change = std::get_if<operator_change>(&event))
    {
        record_id const id = config_writer_.propose(change->change_);
        changes_[change->ticket_] = {id, now + settings_.change_timeout_};
    }
    else if (auto const* lost = std::get_if<peer_lost>(&event))
    {
        members_.lost(now, lost->node_);
    }
}

void controller_kernel::take_log(time_point now, log_read_result const& result)
{
    if (result.stream_ == config_stream())
    {
        for (auto const& entry : config_tail_.take(now, result))
        {
            config_.apply(entry);
            config_writer_.read_back(entry);
        }
    }
    if (result.stream_ == fleet_stream())
    {
        for (auto& entry : fleet_tail_.take(now, result))
        {
            fleet_backlog_.push_back(std::move(entry));
        }
    }
    fold_fleet();
}

void controller_kernel::fold_fleet()
{
    while (!fleet_backlog_.empty() &&
           fleet_.apply(fleet_backlog_.front(), config_))
    {
        fleet_writer_.read_back(fleet_backlog_.front());
        fleet_backlog_.pop_front();
    }
}

void controller_kernel::poll_log(time_point now)
{
    for (auto* tail : {&config_tail_, &fleet_tail_})
    {
        if (auto read = tail->poll(now))
        {
            actions_.emplace_back(std::move(*read));
        }
    }
    for (auto* writer : {&config_writer_, &fleet_writer_})
    {
        if (auto append = writer->poll(now))
        {
            actions_.emplace_back(std::move(*append));
        }
    }
}

void controller_kernel::settle_changes(time_point now)
{
    for (auto place = changes_.begin(); place != changes_.end();)
    {
        change_outcome const* outcome = config_.outcome(place->second.id_);
        if (outcome != nullptr)
        {
            actions_.emplace_back(
                operator_reply{place->first, *outcome, false});
            place = changes_.erase(place);
        }
        else if (now >= place->second.give_up_)
        {
            change_outcome lost;
            lost.id_ = place->second.id_;
            lost.why_ = reason::append_unknown;
            actions_.emplace_back(operator_reply{place->first, lost, true});
            place = changes_.erase(place);
        }
        else
        {
            ++place;
        }
    }
}

void controller_kernel::run_duties(time_point now,
                                   controller_event const& event)
{
    duty_context context{now,      wall_, settings_, config_,       fleet_,
                         members_, list_, random_,   fleet_writer_, actions_};
    context.ready_ = ready();
    for (auto const& duty : duties_)
    {
        duty->handle(context, event);
    }
}

} // namespace cuminfold
