#include "transport/http_server.hpp"

#include "transport/endpoint_text.hpp"
#include "transport/http_session.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace cuminfold
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace
{

/// Connections over the limit that may be told so at one time.
constexpr std::size_t overflow_connections = 64;
/// Pause after a failed accept, such as for want of file descriptors.
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

class http_server::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, http_server_limits limits,
         http_handler handler, std::shared_ptr<connection_budget> budget)
        : acceptor_(context), timer_(context),
          shared_(std::make_shared<detail::http_shared_state>())
    {
        shared_->limits_ = limits;
        shared_->handler_ = std::move(handler);
        shared_->budget_ = std::move(budget);
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

    void leave()
    {
        shared_->leaving_ = true;
    }

    void stop(std::function<void()> done)
    {
        shared_->leaving_ = true;
        shared_->done_ = std::move(done);
        if (shared_->limits_.stop_grace_.count() == 0)
        {
            finish();
            return;
        }
        timer_.expires_after(shared_->limits_.stop_grace_);
        timer_.async_wait(
            [weak = weak_from_this()](beast::error_code)
            {
                if (auto const self = weak.lock())
                {
                    self->finish();
                }
            });
    }

    void abandon()
    {
        beast::error_code ignored;
        acceptor_.close(ignored);
        timer_.cancel();
        shared_->sessions_.clear();
    }

private:
    void finish()
    {
        shared_->stopping_ = true;
        beast::error_code ignored;
        acceptor_.close(ignored);
        auto const sessions = shared_->sessions_;
        for (auto const& open : sessions)
        {
            open->close_if_idle();
        }
        shared_->check_done();
    }

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
        if (error)
        {
            timer_.expires_after(accept_pause);
            timer_.async_wait(
                [weak = weak_from_this()](beast::error_code cancelled)
                {
                    auto const self = weak.lock();
                    if (!cancelled && self)
                    {
                        self->accept();
                    }
                });
            return;
        }
        admit(std::move(socket));
        accept();
    }

    /// Closes the connection that was idle longest, unless that was short. A
    /// caller that was cut off has not closed its connections; they would keep
    /// new ones out until `idle_time_`.
    void make_room()
    {
        std::shared_ptr<detail::http_session> longest_idle;
        for (auto const& session : shared_->sessions_)
        {
            auto const since = session->idle_since();
            if (since && (!longest_idle || since < longest_idle->idle_since()))
            {
                longest_idle = session;
            }
        }
        auto const now = std::chrono::steady_clock::now();
        if (longest_idle && now - *longest_idle->idle_since() >=
                                shared_->limits_.eviction_idle_time_)
        {
            shared_->count_rejected("idle_connection_evicted");
            longest_idle->close_if_idle();
        }
    }

    void admit(tcp::socket socket)
    {
        std::size_t const limit = shared_->limits_.connections_;
        if (shared_->sessions_.size() >= limit)
        {
            make_room();
        }
        std::size_t const open = shared_->sessions_.size();
        if (open >= limit + overflow_connections)
        {
            shared_->count_rejected("too_many_connections");
            return;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto const fresh = std::make_shared<detail::http_session>(
            std::move(socket), shared_, open >= limit);
        shared_->sessions_.insert(fresh);
        fresh->start();
    }

    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::shared_ptr<detail::http_shared_state> shared_;
};

http_server::http_server(asio::io_context& context, http_server_limits limits,
                         http_handler handler,
                         std::shared_ptr<connection_budget> budget)
    : impl_(std::make_shared<impl>(context, limits, std::move(handler),
                                   std::move(budget)))
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

void http_server::leave()
{
    impl_->leave();
}

void http_server::stop(std::function<void()> done)
{
    impl_->stop(std::move(done));
}

} // namespace cuminfold
