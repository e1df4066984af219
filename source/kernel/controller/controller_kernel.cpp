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
    member_update news;
    news.node_ = settings.self_;
    news.role_ = node_role::controller;
    news.data_centre_ = settings.data_centre_;
    news.address_ = settings.address_;
    return news;
}

/// All writers of one process share its appends.
controller_settings with_bucket(controller_settings settings)
{
    settings.writer_.bucket_ = std::make_shared<append_bucket>(
        settings.append_rate_, settings.append_burst_);
    return settings;
}

} // namespace

controller_kernel::controller_kernel(controller_settings settings,
                                     config_merger merger,
                                     std::vector<std::string> const& duties)
    : settings_(with_bucket(std::move(settings))),
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
        route_.heard(*read);
    }
    auto const* received = std::get_if<peer_message>(&event);
    auto const answer =
        received == nullptr ? std::nullopt : route_.answer(received->message_);
    step(now, answer ? *answer : event);
    route_.direct(now, members_, actions_);
    return std::move(actions_);
}

void controller_kernel::step(time_point now, controller_event const& event)
{
    take(now, event);
    view_.settle(&config_writer_, fleet_writer_);
    run_duties(now, event);
    settle_changes(now);
    poll_log(now);
    count_log_events();
}

bool controller_kernel::ready() const noexcept
{
    return view_.known();
}

void controller_kernel::take(time_point now, controller_event const& event)
{
    if (auto const* passed = std::get_if<tick>(&event))
    {
        wall_ = passed->wall_;
        view_.pass(now);
        ask_peers(now);
        keep_members(now);
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
        changes_[change->ticket_] = {id, now + settings_.change_timeout_};
    }
    else if (auto const* received = std::get_if<peer_message>(&event))
    {
        take_peer(now, *received);
    }
    else if (auto const* lost = std::get_if<peer_disconnected>(&event))
    {
        members_.lost(now, lost->node_);
    }
}

void controller_kernel::take_peer(time_point now, peer_message const& received)
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
    else if (auto const* beat = std::get_if<heartbeat>(&body))
    {
        if (auto const question = members_.take(now, *beat))
        {
            actions_.emplace_back(
                send_message{received.from_.node_, message{*question}});
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
        // Whoever reads `config` from an offset has applied what is before.
        if (read->read_.stream_ == config_stream())
        {
            members_.applied(received.from_, read->read_.from_);
        }
    }
}

void controller_kernel::keep_members(time_point now)
{
    auto beats = members_.poll(now, {config().next(), fleet().next()},
                               route_.reachable());
    for (auto& beat : beats)
    {
        actions_.emplace_back(
            send_message{beat.to_, message{std::move(beat.body_)}});
    }
}

void controller_kernel::ask_peers(time_point now)
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

void controller_kernel::settle_changes(time_point now)
{
    for (auto place = changes_.begin(); place != changes_.end();)
    {
        // A change that was overtaken was read back under another id.
        auto const fate = config_writer_.outcome(place->second.id_);
        record_id const id = fate ? fate->id_ : place->second.id_;
        change_outcome const* outcome = view_.config().outcome(id);
        bool const lost = now >= place->second.give_up_ ||
                          (fate && fate->fate_ == proposal_fate::unknown);
        if (outcome != nullptr)
        {
            reply_to(place->first, *outcome, false);
            place = changes_.erase(place);
        }
        else if (lost)
        {
            change_outcome unknown;
            unknown.id_ = place->second.id_;
            unknown.cause_ = reason::append_unknown;
            reply_to(place->first, unknown, true);
            place = changes_.erase(place);
        }
        else
        {
            ++place;
        }
    }
}

void controller_kernel::reply_to(std::uint64_t ticket, change_outcome outcome,
                                 bool unknown)
{
    actions_.emplace_back(operator_reply{ticket, std::move(outcome), unknown});
}

void controller_kernel::count_log_events()
{
    auto const count = [this](reason cause, std::uint64_t total)
    {
        for (auto& counted = counted_[cause]; counted < total; ++counted)
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
