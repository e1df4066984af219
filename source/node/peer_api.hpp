#ifndef CUMINFOLD_NODE_PEER_API_HPP
#define CUMINFOLD_NODE_PEER_API_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/owner_record.hpp"
#include "node/executing_calls.hpp"
#include "node/node_settings.hpp"
#include "transport/connection_budget.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cuminfold
{

/// Answers the requests that a node receives from its peers.
struct peer_handler
{
    /// Returns this node's view of the cell's owner.
    std::function<peer_ping()> on_ping_;
    /// Executes a client's call if this node owns the cell.
    std::function<void(client_call, std::function<void(client_answer)>)>
        on_call_;
    /// Returns the metrics in the text format.
    std::function<std::string()> on_metrics_;
    /// A peer's request or connection was refused; `cause` is the one of
    /// `http_handler::rejected_`.
    std::function<void(char const* cause)> on_rejected_;
};

/// Server for calls between nodes: CBOR over HTTP, since each call is a single
/// request and response. Also serves the node's metrics.
class peer_api
{
public:
    peer_api(boost::asio::io_context& context, peer_handler handler,
             node_settings const& settings,
             std::shared_ptr<connection_budget> budget);

    /// Listens on `IP:PORT` and returns the address bound.
    /// @throws std::runtime_error which names the address
    std::string listen(std::string const& address);
    /// Closes the server; calls `done` once all connections are closed.
    void stop(std::function<void()> done);

private:
    void serve(std::uint64_t exchange, http_request request,
               http_responder const& respond);
    void serve_call(std::uint64_t exchange, http_request const& request,
                    http_responder const& respond);
    void serve_check(http_request const& request,
                     http_responder const& respond) const;

    peer_handler handler_;
    /// Shared with the answers of calls, which may come after the server.
    std::shared_ptr<executing_calls> executing_ =
        std::make_shared<executing_calls>();
    http_server server_;
};

/// How a call to a peer failed.
enum class peer_failure : std::uint8_t
{
    not_sent, ///< the peer has executed nothing of it
    no_answer ///< the peer may have executed it
};

/// Checks the health of a peer. `done` gets none if the peer did not answer
/// in time or its answer cannot be decoded.
void ping_peer(http_client& http, std::string const& address, duration timeout,
               std::function<void(std::optional<peer_ping>)> done);

/// Forwards a client's call to a peer that owns the cell, for as long as the
/// client waits. `done` gets the failure only without an answer.
/// @param id names the call in `check_calls()`
/// @param new_connection opens a connection for the call
/// @param on_written called once the call was written to its connection
/// @return the call's number in `http`, to cancel it
std::uint64_t
call_peer(http_client& http, std::string const& address,
          client_call const& call, forwarded_call_id const& id,
          bool new_connection, std::function<void()> on_written,
          std::function<void(std::optional<client_answer>, peer_failure)> done);

/// How a check of forwarded calls ended.
enum class check_end : std::uint8_t
{
    answered,
    unanswered,
    unsupported ///< by the peer's program
};

/// Asks a peer which of these calls it executes, on a new connection: a peer
/// accepts it after those of the calls, so that it reads the check after them.
/// `done` gets the calls only if the peer has answered.
void check_calls(http_client& http, std::string const& address,
                 forwarded_calls const& calls, duration timeout,
                 std::function<void(check_end, forwarded_calls const&)> done);

} // namespace cuminfold

#endif
