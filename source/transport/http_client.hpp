#ifndef CUMINFOLD_TRANSPORT_HTTP_CLIENT_HPP
#define CUMINFOLD_TRANSPORT_HTTP_CLIENT_HPP

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

/// Bounds of an HTTP client.
struct http_client_limits
{
    std::size_t head_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 8 * 1024 * 1024;
    /// Connections to one address, busy and idle ones together. Further calls
    /// wait for one until their time is up.
    std::size_t connections_ = 64;
    duration connect_time_ = std::chrono::milliseconds{500};
    duration idle_time_ = std::chrono::seconds{30};
};

/// A request to send.
struct http_call
{
    std::string address_; ///< `IP:PORT`
    std::string method_ = "POST";
    std::string target_;
    http_fields fields_;
    std::string body_;
    duration timeout_ = std::chrono::seconds{2};
    /// Opens a connection for the call, also while idle ones are kept.
    bool new_connection_ = false;
    /// Called once the whole call was written to its connection; may be empty.
    std::function<void()> on_written_;
    /// A field of the call whose value the response must repeat; empty: none.
    std::string echo_field_;
};

/// How a call ended. After `not_sent` the other side has seen no byte of it.
enum class http_end
{
    whole,
    not_sent,
    lost,
    timeout,
    truncated,
    mismatched, ///< a response that does not repeat the `echo_field_`
    too_large
};

/// A call's end, and the response if it is whole.
struct http_result
{
    http_end end_ = http_end::lost;
    http_response response_;
};

/// HTTP/1.1 over TCP on one thread's context. All calls are made on that
/// thread.
///
/// A connection carries one request at a time. It is kept only after a whole
/// response; after anything else it is closed and never used again.
///
/// Open connections may fall silent together, without a sign. So a call that
/// ends without a response closes the idle connections to its address as well,
/// but for those that have carried a response since the call was sent.
class http_client
{
public:
    using callback = std::function<void(http_result)>;

    http_client(boost::asio::io_context& context, http_client_limits limits);
    ~http_client();

    /// Sends a call; `done` is called once, unless the call is cancelled.
    /// @return the call's number
    std::uint64_t start(http_call call, callback done);

    /// Gives a call up and closes its connection.
    void cancel(std::uint64_t number);

    /// Gives up a call that the other side has not received or has answered:
    /// its connection and the idle ones to its address are closed as after a
    /// timeout.
    void abandon(std::uint64_t number);

    /// Sets what is called with the number of idle connections that were closed
    /// since a call to their address has ended without a response.
    void set_close_observer(
        std::function<void(std::string const& address, std::size_t closed)>
            observer);

    /// Closes everything; open calls end without a callback.
    void stop();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace cuminfold

#endif
