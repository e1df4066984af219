// Minimal HTTP/1.1 server and client for the stand-ins, on one thread.
#ifndef REVIEW_HTTP_HPP
#define REVIEW_HTTP_HPP

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using request = http::request<http::string_body>;
using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct reply
{
    unsigned status_ = 200;
    std::string body_;
    std::string type_ = "application/cbor";
};
using responder = std::function<void(reply)>;
using handler = std::function<void(request const&, responder)>;

class session;

/// Accepts connections on a loopback port and serves one request at a time on
/// each of them.
class server
{
public:
    server(asio::io_context& context, handler serve)
        : context_(context), serve_(std::move(serve)), acceptor_(context)
    {
    }

    /// @param port 0: any free port
    std::uint16_t listen(std::uint16_t port = 0)
    {
        tcp::endpoint const at(asio::ip::make_address("127.0.0.1"), port);
        acceptor_.open(at.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(at);
        acceptor_.listen();
        accept();
        return acceptor_.local_endpoint().port();
    }

    /// Resets all connections and refuses new ones, like a process that died.
    void close();

    asio::io_context& context_;
    handler serve_;
    std::set<std::shared_ptr<session>> sessions_;

private:
    void accept();

    tcp::acceptor acceptor_;
};

class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, server& owner)
        : socket_(std::move(socket)), owner_(&owner)
    {
        beast::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(16 * 1024 * 1024);
        http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (error || self->owner_ == nullptr)
                {
                    self->end();
                    return;
                }
                self->handle();
            });
    }

    void reset()
    {
        owner_ = nullptr;
        beast::error_code ignored;
        socket_.set_option(tcp::socket::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    void handle()
    {
        auto const weak = weak_from_this();
        owner_->serve_(parser_->get(),
                       [weak](reply answer)
                       {
                           if (auto const self = weak.lock())
                           {
                               self->write(std::move(answer));
                           }
                       });
    }

    void write(reply answer)
    {
        if (owner_ == nullptr)
        {
            return;
        }
        response_ = {};
        response_.version(11);
        response_.result(answer.status_);
        response_.set(http::field::content_type, answer.type_);
        response_.keep_alive(parser_->get().keep_alive());
        response_.body() = std::move(answer.body_);
        response_.prepare_payload();
        http::async_write(
            socket_, response_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (error || !self->response_.keep_alive())
                {
                    self->end();
                    return;
                }
                self->read();
            });
    }

    void end()
    {
        if (owner_ != nullptr)
        {
            owner_->sessions_.erase(shared_from_this());
            owner_ = nullptr;
        }
        beast::error_code ignored;
        socket_.close(ignored);
    }

    tcp::socket socket_;
    server* owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

inline void server::accept()
{
    acceptor_.async_accept(
        [this](beast::error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            auto const made =
                std::make_shared<session>(std::move(socket), *this);
            sessions_.insert(made);
            made->read();
            accept();
        });
}

inline void server::close()
{
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto const& each : std::exchange(sessions_, {}))
    {
        each->reset();
    }
}

/// One request on a connection of its own.
class client_call : public std::enable_shared_from_this<client_call>
{
public:
    /// @param done status 0: no complete answer in time
    static void start(asio::io_context& context, std::uint16_t port,
                      request message, milliseconds limit,
                      std::function<void(unsigned, std::string)> done)
    {
        auto const self = std::make_shared<client_call>(context);
        self->done_ = std::move(done);
        self->request_ = std::move(message);
        self->request_.prepare_payload();
        self->stream_.expires_after(limit);
        self->stream_.async_connect(
            {asio::ip::make_address("127.0.0.1"), port},
            [self](beast::error_code error)
            {
                if (error)
                {
                    self->end(0, "");
                    return;
                }
                http::async_write(self->stream_, self->request_,
                                  [self](beast::error_code failed, std::size_t)
                                  { self->on_written(failed); });
            });
    }

    explicit client_call(asio::io_context& context) : stream_(context) {}

private:
    void on_written(beast::error_code error)
    {
        if (error)
        {
            end(0, "");
            return;
        }
        http::async_read(
            stream_, buffer_, response_,
            [self = shared_from_this()](beast::error_code failed, std::size_t)
            {
                failed ? self->end(0, "")
                       : self->end(self->response_.result_int(),
                                   self->response_.body());
            });
    }

    void end(unsigned status, std::string body)
    {
        stream_.close();
        std::exchange(done_, nullptr)(status, std::move(body));
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    request request_;
    http::response<http::string_body> response_;
    std::function<void(unsigned, std::string)> done_;
};

} // namespace review

#endif
