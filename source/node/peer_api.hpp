#ifndef CUMINFOLD_NODE_PEER_API_HPP
#define CUMINFOLD_NODE_PEER_API_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/owner_record.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cuminfold
{

/// What a node does for its peers.
struct peer_handler
{
    std::function<peer_ping()> ping_;
    std::function<void(client_call, std::function<void(client_answer)>)> call_;
    std::function<std::string()> metrics_;
};

/// The calls between nodes: CBOR over HTTP, since each is one question and its
/// answer. Also serves the node's metrics.
class peer_api
{
public:
    peer_api(boost::asio::io_context& context, peer_handler handler);

    /// Listens on `IP:PORT` and returns the address bound.
    std::string listen(std::string const& address);
    void stop(std::function<void()> done);

private:
    void serve(http_request request, http_responder const& respond);

    peer_handler handler_;
    http_server server_;
};

/// How a call to a peer ended, if it was not answered.
enum class peer_failure : std::uint8_t
{
    not_sent,
    no_answer
};

/// Asks a peer for a sign of life; none if it did not answer.
void ping_peer(http_client& http, std::string const& address, duration timeout,
               std::function<void(std::optional<peer_ping>)> done);

/// Hands a client's call to the owner.
/// @return the call's number, to cancel it
std::uint64_t
call_peer(http_client& http, std::string const& address,
          client_call const& call,
          std::function<void(std::optional<client_answer>, peer_failure)> done);

} // namespace cuminfold

#endif
