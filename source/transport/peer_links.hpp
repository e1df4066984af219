#ifndef CUMINFOLD_TRANSPORT_PEER_LINKS_HPP
#define CUMINFOLD_TRANSPORT_PEER_LINKS_HPP

#include "kernel/identifier.hpp"
#include "kernel/message.hpp"
#include "kernel/reason.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cuminfold
{

/// What is heard from the links.
struct peer_link_handler
{
    std::function<void(hello const&)> joined_;
    std::function<void(incarnation const&, message)> message_;
    std::function<void(node_id const&)> lost_;
    /// A frame or a peer was refused; its connection is closed.
    std::function<void(reason)> refused_;
};

/// Connections to the system's other processes: CBOR messages over WebSocket,
/// on one thread's context. All calls are made on that thread, or before it
/// runs.
///
/// Each side says `hello` first. A frame that does not decode closes its
/// connection and harms nothing else. Outgoing connections are made again
/// after a growing, jittered delay.
class peer_links
{
public:
    peer_links(boost::asio::io_context& context, hello self,
               peer_link_handler handler);
    ~peer_links();

    /// Listens on `IP:PORT` and returns the address bound.
    std::string listen(std::string const& address);

    /// Keeps a connection to that address.
    void connect(std::string const& address);

    /// Sends a message to a node; dropped if there is no link to it, or if
    /// that link has too much waiting.
    /// @return false if it was dropped
    bool send(node_id const& to, message const& what);

    /// Closes all links.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace cuminfold

#endif
