#include "kernel/controller/log_route.hpp"

#include <chrono>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Failures in a row after which a peer is asked.
constexpr std::uint32_t failure_limit = 2;
/// The platform itself is tried again this often.
constexpr duration try_interval = std::chrono::seconds{2};
/// Questions to peers that may be open.
constexpr std::size_t ticket_limit = 256;

} // namespace

void log_route::direct(time_point now, membership const& members,
                       std::vector<controller_action>& actions)
{
    if (failures_ < failure_limit)
    {
        return;
    }
    node_id const helper = members.log_helper(now);
    if (helper.empty())
    {
        return;
    }
    for (auto& action : actions)
    {
        if (auto* read = std::get_if<log_read>(&action))
        {
            if (now - tried_at_ >= try_interval)
            {
                tried_at_ = now;
                continue;
            }
            relayed_read relayed{ask(), std::move(*read)};
            action = send_message{helper, message{std::move(relayed)}};
        }
        else if (auto* append = std::get_if<log_append>(&action))
        {
            relayed_append relayed{ask(), std::move(*append)};
            action = send_message{helper, message{std::move(relayed)}};
        }
    }
}

void log_route::heard(log_read_result const& result)
{
    if (result.status_ == log_read_status::unavailable)
    {
        ++failures_;
        return;
    }
    failures_ = 0;
    answered_ = true;
}

std::optional<controller_event> log_route::answer(message const& what)
{
    if (auto const* read = std::get_if<relayed_read_result>(&what.body_))
    {
        if (expected(read->ticket_))
        {
            return controller_event{read->result_};
        }
    }
    else if (auto const* append =
                 std::get_if<relayed_append_result>(&what.body_))
    {
        if (expected(append->ticket_))
        {
            return controller_event{append->result_};
        }
    }
    return std::nullopt;
}

std::uint64_t log_route::ask()
{
    tickets_.insert(next_ticket_);
    if (tickets_.size() > ticket_limit)
    {
        tickets_.erase(tickets_.begin());
    }
    return next_ticket_++;
}

bool log_route::expected(std::uint64_t ticket)
{
    return tickets_.erase(ticket) != 0;
}

} // namespace cuminfold
