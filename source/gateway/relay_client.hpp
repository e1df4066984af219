#ifndef CUMINFOLD_GATEWAY_RELAY_CLIENT_HPP
#define CUMINFOLD_GATEWAY_RELAY_CLIENT_HPP

#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/message.hpp"
#include "transport/peer_links.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// Reads and appends to the log through a controller of the data centre.
///
/// Uses one controller at a time. When its link is lost, its outstanding reads
/// end as unavailable and its outstanding appends as unknown, and the next
/// linked controller is used.
class relay_client
{
public:
    /// Callbacks, all called on the thread of the `io_context`.
    struct handler
    {
        std::function<void(log_read_result)> read_;
        std::function<void(log_append_result)> append_;
        /// Any other message from a controller.
        std::function<void(message)> other_;
        /// A frame or a controller was refused and its connection closed.
        std::function<void(reason)> refused_;
    };

    relay_client(boost::asio::io_context& context, hello self,
                 std::vector<std::string> const& controllers,
                 handler callbacks);

    /// Reads from the log. The result is unavailable if no controller is
    /// linked or the request can't be sent.
    void read(log_read what);
    /// Appends to the log. The result is unknown if no controller is linked or
    /// the request can't be sent.
    void append(log_append what);
    /// Sends a message to all linked controllers.
    void publish(message const& what);

    void stop();

private:
    void on_message(message what);
    void on_link_lost(node_id const& node);

    peer_links links_;
    handler handler_;
    /// Linked controllers; the first one is in use.
    std::vector<node_id> linked_;
    std::uint64_t next_ticket_ = 1;
    /// Outstanding requests by ticket, with the controller each was sent to.
    std::map<std::uint64_t, std::pair<node_id, log_read>> reads_;
    std::map<std::uint64_t, std::pair<node_id, log_append>> appends_;
};

} // namespace cuminfold

#endif
