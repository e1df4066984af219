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
/// Uses one controller at a time; when its link is lost, what was asked of it
/// ends as unavailable or unknown, and the next one is used.
class relay_client
{
public:
    struct handler
    {
        std::function<void(log_read_result)> read_;
        std::function<void(log_append_result)> append_;
        /// Any other message of a controller.
        std::function<void(message)> other_;
        std::function<void(reason)> refused_;
    };

    relay_client(boost::asio::io_context& context, hello self,
                 std::vector<std::string> const& controllers, handler heard);

    void read(log_read what);
    void append(log_append what);
    /// Tells all controllers that are linked.
    void tell(message const& what);

    void stop();

private:
    void on_message(message what);
    void on_lost(node_id const& node);

    peer_links links_;
    handler heard_;
    std::vector<node_id> joined_;
    std::uint64_t next_ticket_ = 1;
    /// Tickets of what is asked, with the node that was asked.
    std::map<std::uint64_t, std::pair<node_id, log_read>> reads_;
    std::map<std::uint64_t, std::pair<node_id, log_append>> appends_;
};

} // namespace cuminfold

#endif
