#include "kernel/controller/controller_kernel.hpp"

#include "kernel/registry.hpp"
#include "kernel/streams.hpp"

#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

member_update describe_self(controller_settings const& settings)
{
    member_update self;
    self.node_ = settings.self_;
    self.role_ = node_role::controller;
    self.data_centre_ = settings.data_centre_;
    self.address_ = settings.address_;
    return self;
}

/// Adds the append budget that all writers of this process share.
controller_settings with_append_bucket(controller_settings settings)
{
    settings.writer_.bucket_ = std::make_shared<append_bucket>(
        settings.append_rate_, settings.append_burst_);
    return settings;
}

} // namespace

controller_kernel::controller_kernel(controller_settings settings,
                                     config_merger merger,
                                     std::vector<std::string> const& duties)
    : settings_(with_append_bucket(std::move(settings))),
      view_(settings_.tail_, std::move(merger), settings_.snapshot_codec_,
            true),
      members_(describe_self(settings_), settings_.membership_),
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
    if (auto const* read = std::get_if<log_read_result>(&event))
    {
        route_.on_direct_read(*read);
    }
    auto const* received = std::get_if<peer_message>(&event);
    auto const result =
        received == nullptr ? std::nullopt : route_.unwrap(received->message_);
    process(now, result ? *result : event);
    route_.redirect(now, members_, actions_);
    return std::move(actions_);
}

void controller_kernel::process(time_point now, controller_event const& event)
{
    apply_event(now, event);
    view_.settle(&config_writer_, fleet_writer_);
    run_duties(now, event);
    resolve_changes(now);
    poll_log(now);
    count_log_events();
}

bool controller_kernel::ready() const noexcept
{
    return view_.known();
}

void controller_kernel::apply_event(time_point now,
                                    controller_event const& event)
{
    if (auto const* timer = std::get_if<tick>(&event))
    {
        wall_ = timer->wall_;
        view_.pass(now);
        request_peer_state(now);
        send_heartbeats(now);
    }
    else if (auto const* list = std::get_if<vm_list>(&event))
    {
        list_ = *list;
    }
    else if (auto const* read = std::get_if<log_read_result>(&event))
    {
        view_.take(now, *read);
    }
    else if (auto const* reply = std::get_if<log_append_result>(&event))
    {
        config_writer_.take(now, *reply);
        fleet_writer_.take(now, *reply);
    }
    else if (auto const* change = std::get_if<operator_change>(&event))
    {
        record_id const id = config_writer_.propose(change->change_);
        pending_changes_[change->ticket_] = {id,
                                             now + settings_.change_timeout_};
    }
    else if (auto const* received = std::get_if<peer_message>(&event))
    {
        on_peer_message(now, *received);
    }
    else if (auto const* closed = std::get_if<peer_disconnected>(&event))
    {
        members_.lost(now, closed->node_);
    }
}

void controller_kernel::on_peer_message(time_point now,
                                        peer_message const& received)
{
    auto const& body = received.message_.body_;
    if (auto const* request = std::get_if<state_request>(&body))
    {
        for (auto& chunk : view_.answer(*request))
        {
            actions_.emplace_back(send_message{
                received.from_.node_,
                message{state_reply{settings_.self_, std::move(chunk)}}});
        }
    }
    else if (auto const* reply = std::get_if<state_reply>(&body))
    {
        view_.take(now, *reply);
    }
    else if (auto const* greeting = std::get_if<hello>(&body))
    {
        members_.linked(now, *greeting);
    }
    else if (auto const* received_heartbeat = std::get_if<heartbeat>(&body))
    {
        if (auto const query = members_.take(now, *received_heartbeat))
        {
            actions_.emplace_back(
                send_message{received.from_.node_, message{*query}});
        }
    }
    else if (std::holds_alternative<members_request>(body))
    {
        actions_.emplace_back(send_message{
            received.from_.node_,
            message{members_.full(now, {config().next(), fleet().next()},
                                  route_.reachable())}});
    }
    else if (auto const* read = std::get_if<relayed_read>(&body))
    {
        // A peer that reads `config` from an offset has applied all entries
        // before it.
        if (read->read_.stream_ == config_stream())
        {
            members_.applied(received.from_, read->read_.from_);
        }
    }
}

void controller_kernel::send_heartbeats(time_point now)
{
    auto heartbeats = members_.poll(now, {config().next(), fleet().next()},
                                    route_.reachable());
    for (auto& outgoing : heartbeats)
    {
        actions_.emplace_back(
            send_message{outgoing.to_, message{std::move(outgoing.body_)}});
    }
}

void controller_kernel::request_peer_state(time_point now)
{
    for (auto const& request : view_.ask_peers(now))
    {
        for (auto const& node : members_.controllers())
        {
            if (node != settings_.self_.node_)
            {
                actions_.emplace_back(send_message{node, message{request}});
            }
        }
    }
}

void controller_kernel::poll_log(time_point now)
{
    for (auto& read : view_.poll(now))
    {
        actions_.emplace_back(std::move(read));
    }
    for (auto* writer : {&config_writer_, &fleet_writer_})
    {
        if (auto append = writer->poll(now))
        {
            actions_.emplace_back(std::move(*append));
        }
    }
}

void controller_kernel::resolve_changes(time_point now)
{
    for (auto pending = pending_changes_.begin();
         pending != pending_changes_.end();)
    {
        // If a later record of this writer was read back first, the change was
        // proposed again under a new id.
        auto const proposal = config_writer_.outcome(pending->second.id_);
        record_id const id = proposal ? proposal->id_ : pending->second.id_;
        change_outcome const* outcome = view_.config().outcome(id);
        bool const unresolved =
            now >= pending->second.deadline_ ||
            (proposal && proposal->fate_ == proposal_fate::unknown);
        if (outcome != nullptr)
        {
            send_reply(pending->first, *outcome, false);
            pending = pending_changes_.erase(pending);
        }
        else if (unresolved)
        {
            change_outcome unknown;
            unknown.id_ = pending->second.id_;
            unknown.cause_ = reason::append_unknown;
            send_reply(pending->first, unknown, true);
            pending = pending_changes_.erase(pending);
        }
        else
        {
            ++pending;
        }
    }
}

void controller_kernel::send_reply(std::uint64_t ticket, change_outcome outcome,
                                   bool unknown)
{
    actions_.emplace_back(operator_reply{ticket, std::move(outcome), unknown});
}

void controller_kernel::count_log_events()
{
    auto const count = [this](reason cause, std::uint64_t total)
    {
        for (auto& reported = reported_[cause]; reported < total; ++reported)
        {
            actions_.emplace_back(count_reason{cause});
        }
    };
    auto const sum = [this](auto member)
    { return (config_writer_.*member)() + (fleet_writer_.*member)(); };
    count(reason::append_unknown, sum(&log_writer::unknown_appends));
    count(reason::log_rate_limited, sum(&log_writer::rate_limited));
    count(reason::peer_duplicate_address, members_.duplicates());
    count(reason::snapshot_corrupt, view_.corrupt_snapshots());
    for (auto const cause : {reason::record_stale, reason::record_duplicate,
                             reason::record_unknown_kind})
    {
        count(cause, fleet().ignored(cause));
    }
}

void controller_kernel::run_duties(time_point now,
                                   controller_event const& event)
{
    duty_context context{now,      wall_, settings_, config(),      fleet(),
                         members_, list_, random_,   fleet_writer_, actions_};
    context.view_ = &view_;
    context.ready_ = view_.caught_up();
    for (auto const& duty : duties_)
    {
        duty->handle(context, event);
    }
}

} // namespace cuminfold
