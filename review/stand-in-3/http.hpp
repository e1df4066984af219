#ifndef REVIEW_STAND_IN_3_HTTP_HPP
#define REVIEW_STAND_IN_3_HTTP_HPP

#include <boost/asio.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace review
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

struct request
{
    std::string method_;
    std::string target_;
    std::map<std::string, std::string> fields_;
    std::string body_;
};

struct response
{
    unsigned status_ = 200;
    std::string body_;
    std::string type_ = "application/cbor";
};

using responder = std::function<void(response)>;

/// Parses the head of a message; false if it is incomplete.
/// @param first the request line or status line
inline bool parse_head(std::string const& bytes, std::string& first,
                       std::map<std::string, std::string>& fields,
                       std::size_t& head_size)
{
    auto const end = bytes.find("\r\n\r\n");
    if (end == std::string::npos)
    {
        return false;
    }
    head_size = end + 4;
    auto at = bytes.find("\r\n");
    first = bytes.substr(0, at);
    while (at < end)
    {
        auto const next = bytes.find("\r\n", at + 2);
        auto const line = bytes.substr(at + 2, next - at - 2);
        auto const colon = line.find(':');
        if (colon != std::string::npos)
        {
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            auto const value = line.find_first_not_of(' ', colon + 1);
            fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        at = next;
    }
    return true;
}

inline std::size_t body_size(std::map<std::string, std::string> const& fields)
{
    auto const found = fields.find("content-length");
    return found == fields.end() ? 0 : std::stoul(found->second);
}

/// A small HTTP/1.1 server on loopback. It can be closed and opened again at
/// the same port.
class server
{
public:
    using handler = std::function<void(request const&, responder)>;

    server(asio::io_context& io, handler serve)
        : io_(io), acceptor_(io), serve_(std::move(serve))
    {
    }

    /// @param port another one is taken if it is in use by now; 0: any
    void open(unsigned short port)
    {
        tcp::endpoint const at(asio::ip::address_v4::loopback(), port);
        acceptor_.open(at.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        error_code error;
        acceptor_.bind(at, error);
        if (error)
        {
            acceptor_.bind({at.address(), 0});
        }
        acceptor_.listen();
        port_ = acceptor_.local_endpoint().port();
        accept();
    }
    /// Refuses new connections and resets the open ones, as when a process
    /// ends.
    void close()
    {
        error_code ignored;
        acceptor_.close(ignored);
        for (auto const& each : std::exchange(sessions_, {}))
        {
            each->socket_.set_option(tcp::socket::linger(true, 0), ignored);
            each->socket_.close(ignored);
        }
    }
    unsigned short port() const
    {
        return port_;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    struct session
    {
        explicit session(tcp::socket socket) : socket_(std::move(socket)) {}
        tcp::socket socket_;
        std::string in_;
        std::string out_;
        char buffer_[16384];
    };
    using session_ptr = std::shared_ptr<session>;

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                auto const fresh = std::make_shared<session>(std::move(socket));
                sessions_.insert(fresh);
                read(fresh);
                accept();
            });
    }

    void read(session_ptr const& each)
    {
        request call;
        std::string first;
        std::size_t head = 0;
        if (parse_head(each->in_, first, call.fields_, head))
        {
            auto const size = head + body_size(call.fields_);
            if (each->in_.size() >= size)
            {
                call.body_ = each->in_.substr(head, size - head);
                each->in_.erase(0, size);
                auto const space = first.find(' ');
                call.method_ = first.substr(0, space);
                call.target_ = first.substr(
                    space + 1, first.find(' ', space + 1) - space - 1);
                serve_(call, [this, each](response answer)
                       { write(each, std::move(answer)); });
                return;
            }
        }
        each->socket_.async_read_some(
            asio::buffer(each->buffer_),
            [this, each](error_code error, std::size_t bytes)
            {
                if (error)
                {
                    sessions_.erase(each);
                    return;
                }
                each->in_.append(each->buffer_, bytes);
                read(each);
            });
    }

    void write(session_ptr const& each, response answer)
    {
        if (sessions_.count(each) == 0)
        {
            return;
        }
        each->out_ =
            "HTTP/1.1 " + std::to_string(answer.status_) +
            " Status\r\nContent-Type: " + answer.type_ +
            "\r\nContent-Length: " + std::to_string(answer.body_.size()) +
            "\r\n\r\n" + answer.body_;
        asio::async_write(each->socket_, asio::buffer(each->out_),
                          [this, each](error_code error, std::size_t)
                          {
                              if (error)
                              {
                                  sessions_.erase(each);
                                  return;
                              }
                              read(each);
                          });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    handler serve_;
    unsigned short port_ = 0;
    std::set<session_ptr> sessions_;
};

} // namespace review

#endif
