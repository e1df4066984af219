#include "kernel/controller/log_route.hpp"

#include <chrono>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Consecutive failures of direct reads after which requests go to a peer.
constexpr std::uint32_t max_failures = 2;
/// Interval between direct reads that test whether the platform answers again.
constexpr duration probe_interval = std::chrono::seconds{2};
/// Maximum number of outstanding requests to peers; beyond it the oldest is
/// abandoned.
constexpr std::size_t max_tickets = 256;

} // namespace

void log_route::redirect(time_point now, membership const& members,
                         std::vector<controller_action>& actions)
{
    if (failures_ < max_failures)
    {
        return;
    }
    node_id const relay = members.log_helper(now);
    if (relay.empty())
    {
        return;
    }
    for (auto& action : actions)
    {
        if (auto* read = std::get_if<log_read>(&action))
        {
            if (now - last_probe_ >= probe_interval)
            {
                last_probe_ = now;
                continue;
            }
            relayed_read relayed{issue_ticket(), std::move(*read)};
            action = send_message{relay, message{std::move(relayed)}};
        }
        else if (auto* append = std::get_if<log_append>(&action))
        {
            relayed_append relayed{issue_ticket(), std::move(*append)};
            action = send_message{relay, message{std::move(relayed)}};
        }
    }
}

void log_route::on_direct_read(log_read_result const& result)
{
    if (result.status_ == log_read_status::unavailable)
    {
        ++failures_;
        return;
    }
    failures_ = 0;
    answered_ = true;
}

std::optional<controller_event> log_route::unwrap(message const& received)
{
    if (auto const* read = std::get_if<relayed_read_result>(&received.body_))
    {
        if (redeem_ticket(read->ticket_))
        {
            return controller_event{read->result_};
        }
    }
    else if (auto const* append =
                 std::get_if<relayed_append_result>(&received.body_))
    {
        if (redeem_ticket(append->ticket_))
        {
            return controller_event{append->result_};
        }
    }
    return std::nullopt;
}

std::uint64_t log_route::issue_ticket()
{
    tickets_.insert(next_ticket_);
    if (tickets_.size() > max_tickets)
    {
        tickets_.erase(tickets_.begin());
    }
    return next_ticket_++;
}

bool log_route::redeem_ticket(std::uint64_t ticket)
{
    return tickets_.erase(ticket) != 0;
}

} // namespace cuminfold
