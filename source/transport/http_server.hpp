#ifndef CUMINFOLD_TRANSPORT_HTTP_SERVER_HPP
#define CUMINFOLD_TRANSPORT_HTTP_SERVER_HPP

#include "kernel/time.hpp"
#include "transport/http_message.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cuminfold
{

class connection_budget;

/// Bounds of an HTTP server.
struct http_server_limits
{
    std::size_t head_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 1024 * 1024;
    /// Bytes of one chunk's head with its extensions, and of all trailers; 0:
    /// no bound.
    std::size_t chunk_head_bytes_ = 0;
    /// Bytes of a body as it is sent, with its chunks' heads; 0: no bound.
    std::size_t encoded_body_bytes_ = 0;
    std::size_t connections_ = 4096;
    /// Time for the whole head and body, from the first byte on.
    duration read_time_ = std::chrono::seconds{10};
    /// Time that a connection may stay without a request.
    duration idle_time_ = std::chrono::seconds{60};
    /// At the limit of connections, one that was idle for this long makes room
    /// for a new one.
    duration eviction_idle_time_ = std::chrono::seconds{1};
    /// Time for the caller to take a response.
    duration write_time_ = std::chrono::seconds{10};
    /// Time after `stop()` in which connections are still taken and idle ones
    /// are kept, so that callers hear from an answer that it ends.
    duration stop_grace_{0};
};

/// Answers one request, once; may be kept and called on the server's thread
/// at any later time. A call after the caller is gone does nothing.
using http_responder = std::function<void(http_response)>;

/// What a server does with a request.
struct http_handler
{
    /// A whole request. `exchange` names it in `gone_`.
    std::function<void(std::uint64_t exchange, http_request, http_responder)>
        request_;
    /// The caller disconnected before its answer.
    std::function<void(std::uint64_t exchange)> gone_;
    /// Makes the refusal of a request that came on a connection over the
    /// limit; empty: a problem document, status 503, outcome `not-run`.
    std::function<http_response(http_request const&)> overloaded_;
    /// A request that was refused for its size or form, or a connection that
    /// was dropped for its slowness or to make room; `what` is a metrics label.
    std::function<void(char const* what)> rejected_;
};

/// HTTP/1.1 over TCP on one thread's context. All calls are made on that
/// thread, or before it runs.
class http_server
{
public:
    /// @param budget limits the connections' memory, also together with those
    /// of other servers; none: no limit
    http_server(boost::asio::io_context& context, http_server_limits limits,
                http_handler handler,
                std::shared_ptr<connection_budget> budget = nullptr);
    ~http_server();

    /// Listens on `IP:PORT` (port 0: any) and returns the address bound.
    /// @throws std::runtime_error which names the address
    std::string listen(std::string const& address);

    /// From now on each answer closes its connection.
    void leave();

    /// After the grace time, accepts no more connections and closes those that
    /// are idle; the others are closed after their answer. Calls `done` once
    /// all are closed.
    void stop(std::function<void()> done);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace cuminfold

#endif
