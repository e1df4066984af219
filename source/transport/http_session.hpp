#ifndef CUMINFOLD_TRANSPORT_HTTP_SESSION_HPP
#define CUMINFOLD_TRANSPORT_HTTP_SESSION_HPP

#include "transport/connection_budget.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Included by the server's own sources only.

namespace cuminfold::detail
{

class http_session;

/// What the connections of one server share.
struct http_shared_state
{
    http_server_limits limits_;
    http_handler handler_;
    /// None: the connections' memory is not limited.
    std::shared_ptr<connection_budget> budget_;
    std::set<std::shared_ptr<http_session>> sessions_;
    std::uint64_t next_exchange_ = 1;
    /// Answers close their connections.
    bool leaving_ = false;
    /// Idle connections are closed, too.
    bool stopping_ = false;
    std::function<void()> done_;

    void check_done();
    void count_rejected(char const* what) const;
};

/// One connection; one request at a time.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    /// @param overflow the connection is over the limit: its request is
    /// refused
    http_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<http_shared_state> shared, bool overflow);

    void start();
    void close_if_idle();
    /// Since when the connection has no request; none while it has one.
    std::optional<std::chrono::steady_clock::time_point> idle_since() const;

private:
    using error_code = boost::beast::error_code;

    std::size_t held_bytes() const;
    bool draw();
    void on_evicted();
    void send_rejection();
    void await_request();
    void begin_request();
    void limit_read();
    void on_read_limit();
    bool out_of_time(error_code error) const;
    void read_more();
    void on_bytes(error_code error, std::size_t bytes);
    void look_at_head();
    void parse();
    void read_rest();
    bool on_head();
    void invite_body();
    void on_parse_error(error_code error);
    void reject(char const* what, unsigned status);
    void hand_over();
    void take_head();
    http_request take_request();
    void watch();
    void on_readable(std::uint64_t exchange);
    void respond(std::uint64_t exchange, http_response response);
    void write(http_response response);
    void write_raw(http_response response);
    void on_written(error_code error);
    void close_lingering();
    void discard();
    void close();

    boost::beast::tcp_stream stream_;
    /// The stream's own timer would close it before the refusal is written.
    boost::asio::steady_timer read_timer_;
    std::shared_ptr<http_shared_state> shared_;
    bool overflow_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    std::string raw_;
    std::uint64_t exchange_ = 0;
    std::size_t discarded_ = 0;
    bool answered_ = false;
    bool keep_alive_ = true;
    bool idle_ = true;
    std::chrono::steady_clock::time_point idle_since_{};
    bool rejected_ = false;
    bool reading_ = false;
    bool slow_ = false;
    bool head_only_ = false;
    bool closed_ = false;
    /// Its method, path and fields once its head has been read.
    http_request request_;
    /// What `request_` holds without a body.
    std::size_t head_bytes_ = 0;
    /// The length that the request's head gives.
    std::size_t declared_bytes_ = 0;
    /// Bytes of the body as it is sent, with its chunks' heads and trailers.
    std::size_t body_read_ = 0;
    /// What the request in execution holds.
    std::size_t request_bytes_ = 0;
    connection_account account_;
};

} // namespace cuminfold::detail

#endif
