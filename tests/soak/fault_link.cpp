#include "soak/fault_link.hpp"

#include "transport/endpoint_text.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <utility>

namespace cuminfold
{

namespace
{

using boost::asio::ip::tcp;
using clock = std::chrono::steady_clock;

/// How often held bytes are looked at.
constexpr std::chrono::milliseconds look_interval{10};
constexpr std::size_t chunk_bytes = 16 * 1024;

void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::socket::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/// Both ways of one connection.
class fault_link::session : public std::enable_shared_from_this<session>
{
public:
    session(fault_link& link, tcp::socket caller)
        : link_(link), alive_(link.alive_), calls_(std::move(caller)),
          answers_(tcp::socket(link.context_)), timer_(link.context_)
    {
    }

    void start()
    {
        answers_.from_.async_connect(
            parse_endpoint(link_.target_),
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                self->read(self->calls_);
                self->read(self->answers_);
                self->look();
            });
    }

    void silence(link_fault fault)
    {
        silenced_ = fault;
    }

    void close()
    {
        timer_.cancel();
        reset(calls_.from_);
        reset(answers_.from_);
        if (*alive_)
        {
            link_.sessions_.erase(shared_from_this());
        }
    }

private:
    struct chunk
    {
        std::string bytes_; ///< empty: the sender has closed
        clock::time_point due_;
    };
    struct way
    {
        explicit way(tcp::socket socket) : from_(std::move(socket)) {}

        tcp::socket from_;
        std::array<char, chunk_bytes> buffer_{};
        std::deque<chunk> held_;
        bool writing_ = false;
    };

    void read(way& in)
    {
        in.from_.async_read_some(
            boost::asio::buffer(in.buffer_),
            [self = shared_from_this(), &in](boost::system::error_code error,
                                             std::size_t count)
            {
                auto const due =
                    clock::now() + (*self->alive_ ? self->link_.state_.delay_
                                                  : look_interval * 0);
                in.held_.push_back(
                    {std::string(in.buffer_.data(), error ? 0 : count), due});
                if (!error)
                {
                    self->read(in);
                }
                self->deliver();
            });
    }

    bool holds(way const& in) const
    {
        return holds(link_.state_.fault_, in) || holds(silenced_, in);
    }

    bool holds(link_fault fault, way const& in) const
    {
        return fault == link_fault::silence ||
               (fault == link_fault::hold_calls && &in == &calls_) ||
               (fault == link_fault::hold_answers && &in == &answers_);
    }

    void deliver()
    {
        if (*alive_)
        {
            deliver(calls_, answers_.from_);
            deliver(answers_, calls_.from_);
        }
    }

    void deliver(way& in, tcp::socket& to)
    {
        if (in.writing_ || in.held_.empty() || holds(in) ||
            in.held_.front().due_ > clock::now())
        {
            return;
        }
        if (in.held_.front().bytes_.empty())
        {
            close();
            return;
        }
        in.writing_ = true;
        boost::asio::async_write(
            to, boost::asio::buffer(in.held_.front().bytes_),
            [self = shared_from_this(), &in](boost::system::error_code error,
                                             std::size_t)
            {
                in.writing_ = false;
                in.held_.pop_front();
                error ? self->close() : self->deliver();
            });
    }

    void look()
    {
        timer_.expires_after(look_interval);
        timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error)
                {
                    self->deliver();
                    self->look();
                }
            });
    }

    fault_link& link_;
    std::shared_ptr<bool> alive_;
    way calls_;
    way answers_;
    boost::asio::steady_timer timer_;
    /// A fault that does not end.
    link_fault silenced_ = link_fault::none;
};

fault_link::fault_link(boost::asio::io_context& context)
    : context_(context),
      acceptor_(context, tcp::endpoint(
                             boost::asio::ip::make_address_v4("127.0.0.1"), 0)),
      address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
{
}

fault_link::~fault_link()
{
    *alive_ = false;
    for (auto const& each : std::exchange(sessions_, {}))
    {
        each->close();
    }
}

void fault_link::set_target(std::string const& address)
{
    bool const first = target_.empty();
    target_ = address;
    if (first)
    {
        accept();
    }
}

void fault_link::set_state(link_state state)
{
    state_ = state;
    if (state_.fault_ == link_fault::reset)
    {
        for (auto const& each : std::exchange(sessions_, {}))
        {
            each->close();
        }
    }
}

std::size_t fault_link::silence_open(link_fault fault)
{
    for (auto const& each : sessions_)
    {
        each->silence(fault);
    }
    return sessions_.size();
}

void fault_link::accept()
{
    acceptor_.async_accept(
        [this, alive = alive_](boost::system::error_code error,
                               tcp::socket socket)
        {
            if (!*alive)
            {
                return;
            }
            if (!error && state_.fault_ == link_fault::reset)
            {
                reset(socket);
            }
            else if (!error)
            {
                auto const open =
                    std::make_shared<session>(*this, std::move(socket));
                sessions_.insert(open);
                open->start();
            }
            accept();
        });
}

} // namespace cuminfold
