#ifndef REVIEW_STAND_IN_3_PROXY_HPP
#define REVIEW_STAND_IN_3_PROXY_HPP

#include "http.hpp"

#include <vector>

namespace review
{

/// Forwards connections to a port. Those that are open when `silence()` is
/// called carry nothing any more, in both directions, and are not closed.
class proxy
{
public:
    proxy(asio::io_context& io, unsigned short target)
        : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
          target_(target)
    {
        accept();
    }
    unsigned short port() const
    {
        return acceptor_.local_endpoint().port();
    }
    /// @return how many connections were open
    std::size_t silence()
    {
        std::size_t open = 0;
        for (auto const& each : pairs_)
        {
            open += each->is_open_ && !each->is_silent_ ? 1 : 0;
            each->is_silent_ = true;
        }
        return open;
    }

private:
    struct pair
    {
        explicit pair(asio::io_context& io, tcp::socket from)
            : sockets_{std::move(from), tcp::socket(io)}
        {
        }
        tcp::socket sockets_[2];
        char buffers_[2][16384];
        bool is_open_ = true;
        bool is_silent_ = false;
    };
    using pair_ptr = std::shared_ptr<pair>;

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                auto const fresh =
                    std::make_shared<pair>(io_, std::move(socket));
                pairs_.push_back(fresh);
                fresh->sockets_[1].async_connect(
                    {asio::ip::address_v4::loopback(), target_},
                    [fresh](error_code failed)
                    {
                        if (failed)
                        {
                            close(fresh);
                            return;
                        }
                        error_code ignored;
                        for (auto& each : fresh->sockets_)
                        {
                            each.set_option(tcp::no_delay(true), ignored);
                        }
                        pump(fresh, 0);
                        pump(fresh, 1);
                    });
                accept();
            });
    }
    static void close(pair_ptr const& each)
    {
        each->is_open_ = false;
        error_code ignored;
        each->sockets_[0].close(ignored);
        each->sockets_[1].close(ignored);
    }
    static void pump(pair_ptr const& each, int from)
    {
        each->sockets_[from].async_read_some(
            asio::buffer(each->buffers_[from]),
            [each, from](error_code error, std::size_t bytes)
            {
                if (each->is_silent_)
                {
                    return;
                }
                if (error)
                {
                    close(each);
                    return;
                }
                asio::async_write(each->sockets_[1 - from],
                                  asio::buffer(each->buffers_[from], bytes),
                                  [each, from](error_code failed, std::size_t)
                                  {
                                      if (failed)
                                      {
                                          close(each);
                                          return;
                                      }
                                      pump(each, from);
                                  });
            });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    unsigned short target_;
    std::vector<pair_ptr> pairs_;
};

} // namespace review

#endif
