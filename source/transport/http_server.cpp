#include "transport/http_server.hpp"

#include "transport/endpoint_text.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace cuminfold
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace
{

class session;

/// What the sessions share.
struct shared_state
{
    http_server_limits limits_;
    http_handler handler_;
    std::set<std::shared_ptr<session>> sessions_;
    std::uint64_t next_exchange_ = 1;
    bool stopping_ = false;
    std::function<void()> done_;

    void check_done()
    {
        if (stopping_ && sessions_.empty() && done_)
        {
            std::exchange(done_, nullptr)();
        }
    }
};

/// One connection; one request at a time.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<shared_state> shared)
        : stream_(std::move(socket)), shared_(std::move(shared))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(shared_->limits_.head_bytes_));
        parser_->body_limit(shared_->limits_.body_bytes_);
        idle_ = true;
        if (buffer_.size() != 0)
        {
            read_head();
            return;
        }
        stream_.expires_after(shared_->limits_.idle_time_);
        buffer_.reserve(1);
        stream_.async_read_some(buffer_.prepare(read_size),
                                [self = shared_from_this()](
                                    beast::error_code error, std::size_t bytes)
                                {
                                    if (error)
                                    {
                                        self->close();
                                        return;
                                    }
                                    self->buffer_.commit(bytes);
                                    self->read_head();
                                });
    }

    void close_if_idle()
    {
        if (idle_)
        {
            close();
        }
    }

    void respond(std::uint64_t exchange, http_response response)
    {
        if (exchange != exchange_ || answered_)
        {
            return;
        }
        answered_ = true;
        write(std::move(response));
    }

private:
    static constexpr std::size_t read_size = 4096;

    void read_head()
    {
        idle_ = false;
        stream_.expires_after(shared_->limits_.read_time_);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            { self->on_read(error); });
    }

    void on_read(beast::error_code error)
    {
        if (!error)
        {
            hand_over();
            return;
        }
        if (error == beast::error::timeout)
        {
            reject("slow_request", 408);
        }
        else if (error == http::error::body_limit)
        {
            reject("body_too_large", 413);
        }
        else if (error == http::error::header_limit)
        {
            reject("head_too_large", 431);
        }
        else if (error == http::error::end_of_stream ||
                 error == http::error::partial_message ||
                 error.category() !=
                     http::make_error_code(http::error::bad_method).category())
        {
            close();
        }
        else
        {
            reject("bad_request", 400);
        }
    }

    void reject(char const* what, unsigned status)
    {
        if (shared_->handler_.rejected_)
        {
            shared_->handler_.rejected_(what);
        }
        keep_alive_ = false;
        std::string const text =
            std::string(R"({"reason":")") +
            (status == 413 ? "body_too_large" : "bad_request") +
            R"(","outcome":"not-run"})";
        write(make_response(status, "application/problem+json", text));
    }

    void hand_over()
    {
        http_request request = take_request();
        exchange_ = shared_->next_exchange_++;
        answered_ = false;
        stream_.expires_never();
        watch();
        shared_->handler_.request_(
            exchange_, std::move(request),
            [weak = weak_from_this(),
             exchange = exchange_](http_response response)
            {
                if (auto const self = weak.lock())
                {
                    self->respond(exchange, std::move(response));
                }
            });
    }

    http_request take_request()
    {
        auto message = parser_->release();
        http_request request;
        request.method_ = std::string(message.method_string());
        std::string const target(message.target());
        auto const mark = target.find('?');
        request.path_ = target.substr(0, mark);
        request.query_ =
            mark == std::string::npos ? "" : target.substr(mark + 1);
        for (auto const& field : message)
        {
            std::string name(field.name_string());
            for (auto& c : name)
            {
                c = static_cast<char>(
                    std::tolower(static_cast<unsigned char>(c)));
            }
            request.fields_[name] = std::string(field.value());
        }
        keep_alive_ = message.keep_alive();
        request.body_ = std::move(message.body());
        return request;
    }

    /// Watches for the caller's end while its request is worked on.
    void watch()
    {
        stream_.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(),
             exchange = exchange_](beast::error_code error)
            {
                if (!error && exchange == self->exchange_ && !self->answered_)
                {
                    self->peek();
                }
            });
    }

    void peek()
    {
        char byte = 0;
        beast::error_code error;
        stream_.socket().non_blocking(true, error);
        stream_.socket().receive(asio::buffer(&byte, 1),
                                 tcp::socket::message_peek, error);
        if (!error || error == asio::error::would_block)
        {
            return;
        }
        answered_ = true;
        if (shared_->handler_.gone_)
        {
            shared_->handler_.gone_(exchange_);
        }
        close();
    }

    void write(http_response response)
    {
        response_ = http::response<http::string_body>();
        response_.result(response.status_);
        response_.version(11);
        for (auto const& field : response.fields_)
        {
            response_.set(field.first, field.second);
        }
        keep_alive_ = keep_alive_ && !shared_->stopping_;
        response_.keep_alive(keep_alive_);
        response_.body() = std::move(response.body_);
        response_.prepare_payload();
        stream_.socket().cancel();
        stream_.expires_after(shared_->limits_.write_time_);
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            { self->on_written(error); });
    }

    void on_written(beast::error_code error)
    {
        if (error || !keep_alive_)
        {
            close();
            return;
        }
        read();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close();
        shared_->sessions_.erase(shared_from_this());
        shared_->check_done();
    }

    beast::tcp_stream stream_;
    std::shared_ptr<shared_state> shared_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::uint64_t exchange_ = 0;
    bool answered_ = false;
    bool keep_alive_ = true;
    bool idle_ = true;
};

} // namespace

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, http_server_limits limits,
         http_handler handler)
        : acceptor_(context), shared_(std::make_shared<shared_state>())
    {
        shared_->limits_ = limits;
        shared_->handler_ = std::move(handler);
    }

    std::string listen(std::string const& address)
    {
        try
        {
            tcp::endpoint const at = parse_endpoint(address);
            acceptor_.open(at.protocol());
            acceptor_.set_option(asio::socket_base::reuse_address(true));
            acceptor_.bind(at);
            acceptor_.listen(asio::socket_base::max_listen_connections);
        }
        catch (boost::system::system_error const& error)
        {
            throw std::runtime_error("cannot listen on " + address + ": " +
                                     error.code().message());
        }
        accept();
        return format_endpoint(acceptor_.local_endpoint());
    }

    void stop(std::function<void()> done)
    {
        shared_->stopping_ = true;
        shared_->done_ = std::move(done);
        beast::error_code ignored;
        acceptor_.close(ignored);
        auto const sessions = shared_->sessions_;
        for (auto const& open : sessions)
        {
            open->close_if_idle();
        }
        shared_->check_done();
    }

    void abandon()
    {
        beast::error_code ignored;
        acceptor_.close(ignored);
        shared_->sessions_.clear();
    }

private:
    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](
                                   beast::error_code error, tcp::socket socket)
                               { self->on_accept(error, std::move(socket)); });
    }

    void on_accept(beast::error_code error, tcp::socket socket)
    {
        if (!acceptor_.is_open())
        {
            return;
        }
        bool const room =
            shared_->sessions_.size() < shared_->limits_.connections_;
        if (!error && room)
        {
            socket.set_option(tcp::no_delay(true), error);
            auto const fresh =
                std::make_shared<session>(std::move(socket), shared_);
            shared_->sessions_.insert(fresh);
            fresh->read();
        }
        else if (!error && shared_->handler_.rejected_)
        {
            shared_->handler_.rejected_("too_many_connections");
        }
        accept();
    }

    tcp::acceptor acceptor_;
    std::shared_ptr<shared_state> shared_;
};

http_server::http_server(asio::io_context& context, http_server_limits limits,
                         http_handler handler)
    : impl_(std::make_shared<impl>(context, limits, std::move(handler)))
{
}

http_server::~http_server()
{
    impl_->abandon();
}

std::string http_server::listen(std::string const& address)
{
    return impl_->listen(address);
}

void http_server::stop(std::function<void()> done)
{
    impl_->stop(std::move(done));
}

} // namespace cuminfold
