#include "gateway/relay_client.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

log_read_result make_unavailable(log_read const& what)
{
    log_read_result result;
    result.stream_ = what.stream_;
    result.from_ = what.from_;
    return result;
}

log_append_result make_unknown(log_append const& what)
{
    log_append_result result;
    result.stream_ = what.stream_;
    result.ticket_ = what.ticket_;
    return result;
}

} // namespace

relay_client::relay_client(boost::asio::io_context& context, hello self,
                           std::vector<std::string> const& controllers,
                           handler callbacks)
    : links_(context, std::move(self),
             peer_link_handler{
                 [this](hello const& peer)
                 { linked_.push_back(peer.node_.node_); },
                 [this](incarnation const&, message what)
                 { on_message(std::move(what)); },
                 [this](node_id const& node) { on_link_lost(node); },
                 [this](reason cause) { handler_.refused_(cause); }}),
      handler_(std::move(callbacks))
{
    for (auto const& address : controllers)
    {
        links_.connect(address);
    }
}

void relay_client::read(log_read what)
{
    if (linked_.empty())
    {
        handler_.read_(make_unavailable(what));
        return;
    }
    auto const ticket = next_ticket_++;
    node_id const to = linked_.front();
    reads_[ticket] = {to, what};
    if (!links_.send(to, message{relayed_read{ticket, what}}))
    {
        reads_.erase(ticket);
        handler_.read_(make_unavailable(what));
    }
}

void relay_client::append(log_append what)
{
    if (linked_.empty())
    {
        handler_.append_(make_unknown(what));
        return;
    }
    auto const ticket = next_ticket_++;
    node_id const to = linked_.front();
    appends_[ticket] = {to, what};
    if (!links_.send(to, message{relayed_append{ticket, what}}))
    {
        appends_.erase(ticket);
        handler_.append_(make_unknown(what));
    }
}

void relay_client::publish(message const& what)
{
    for (auto const& node : linked_)
    {
        links_.send(node, what);
    }
}

void relay_client::stop()
{
    links_.stop();
}

void relay_client::on_message(message what)
{
    if (auto* read = std::get_if<relayed_read_result>(&what.body_))
    {
        if (reads_.erase(read->ticket_) != 0)
        {
            handler_.read_(std::move(read->result_));
        }
    }
    else if (auto* append = std::get_if<relayed_append_result>(&what.body_))
    {
        if (appends_.erase(append->ticket_) != 0)
        {
            handler_.append_(std::move(append->result_));
        }
    }
    else
    {
        handler_.other_(std::move(what));
    }
}

void relay_client::on_link_lost(node_id const& node)
{
    linked_.erase(std::remove(linked_.begin(), linked_.end(), node),
                  linked_.end());
    auto const reads = reads_;
    for (auto const& item : reads)
    {
        if (item.second.first == node)
        {
            reads_.erase(item.first);
            handler_.read_(make_unavailable(item.second.second));
        }
    }
    auto const appends = appends_;
    for (auto const& item : appends)
    {
        if (item.second.first == node)
        {
            appends_.erase(item.first);
            handler_.append_(make_unknown(item.second.second));
        }
    }
}

} // namespace cuminfold
