#ifndef CUMINFOLD_TESTS_TRANSPORT_RAW_SOCKET_HPP
#define CUMINFOLD_TESTS_TRANSPORT_RAW_SOCKET_HPP

#include "transport/endpoint_text.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <string>

#include <sys/socket.h>
#include <sys/time.h>

namespace cuminfold
{

/// A blocking TCP connection that sends and takes bytes as they are. Waits are
/// bounded, so that a test fails instead of hanging.
class raw_socket
{
public:
    explicit raw_socket(std::string const& address) : socket_(context_)
    {
        socket_.connect(parse_endpoint(address));
        bound_waits();
    }

    explicit raw_socket(boost::asio::ip::tcp::acceptor& from)
        : socket_(context_)
    {
        from.accept(socket_);
        bound_waits();
    }

    /// False if the other side has closed.
    bool send(std::string const& bytes)
    {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(bytes), error);
        return !error;
    }

    /// Reads until the text has come, and returns all up to and including it;
    /// less if the connection ended.
    std::string read_until(std::string const& text)
    {
        auto at = kept_.find(text);
        while (at == std::string::npos && read_some())
        {
            at = kept_.find(text);
        }
        std::size_t const length =
            at == std::string::npos ? kept_.size() : at + text.size();
        std::string taken = kept_.substr(0, length);
        kept_.erase(0, length);
        return taken;
    }

    /// Reads all until the other side closes.
    std::string read_all()
    {
        while (read_some())
        {
        }
        return std::move(kept_);
    }

    /// True if the last read ended since the other side had closed.
    bool closed() const
    {
        return closed_;
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

private:
    void bound_waits()
    {
        timeval const limit{30, 0};
        setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                   sizeof limit);
        setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
                   sizeof limit);
    }

    bool read_some()
    {
        char bytes[4096];
        ssize_t const count =
            ::recv(socket_.native_handle(), bytes, sizeof bytes, 0);
        closed_ = closed_ || count == 0;
        if (count <= 0)
        {
            return false;
        }
        kept_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string kept_;
    bool closed_ = false;
};

} // namespace cuminfold

#endif
