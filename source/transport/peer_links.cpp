#include "transport/peer_links.hpp"

#include "transport/endpoint_text.hpp"
#include "wire/decode_error.hpp"
#include "wire/message_codec.hpp"

#include <boost/asio/steady_timer.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

using server_type = websocketpp::server<websocketpp::config::asio>;
using client_type = websocketpp::client<websocketpp::config::asio_client>;
using handle = websocketpp::connection_hdl;
using std::chrono::milliseconds;

constexpr milliseconds first_delay{50};
constexpr milliseconds longest_delay{2000};
/// Bytes that may wait on one link.
constexpr std::size_t waiting_limit = 16 * 1024 * 1024;

} // namespace

class peer_links::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(boost::asio::io_context& context, hello self,
         peer_link_handler handler)
        : context_(context), self_(std::move(self)),
          handler_(std::move(handler)), random_(self_.node_.number_)
    {
    }

    void prepare()
    {
        prepare_endpoint(server_);
        prepare_endpoint(client_);
        server_.set_reuse_addr(true);
        server_.set_open_handler([this](handle h) { greet(h, server_); });
    }

    std::string listen(std::string const& address)
    {
        auto const at = parse_endpoint(address);
        websocketpp::lib::error_code error;
        server_.listen(at, error);
        if (error)
        {
            throw std::runtime_error("cannot listen on " + address + ": " +
                                     error.message());
        }
        server_.start_accept();
        boost::system::error_code none;
        return format_endpoint(server_.get_local_endpoint(none));
    }

    void connect(std::string const& address)
    {
        if (stopping_)
        {
            return;
        }
        websocketpp::lib::error_code error;
        auto const connection =
            client_.get_connection("ws://" + address + "/", error);
        if (error)
        {
            retry_later(address);
            return;
        }
        connection->set_open_handler(
            [this, address](handle h)
            {
                delays_.erase(address);
                greet(h, client_);
            });
        connection->set_fail_handler([this, address](handle)
                                     { retry_later(address); });
        connection->set_close_handler(
            [this, address](handle h)
            {
                on_close(h);
                retry_later(address);
            });
        client_.connect(connection);
    }

    bool send(node_id const& to, message const& what)
    {
        auto const found = links_.find(to);
        return found != links_.end() &&
               write(found->second, encode_message(what));
    }

    void stop()
    {
        stopping_ = true;
        if (server_.is_listening())
        {
            websocketpp::lib::error_code error;
            server_.stop_listening(error);
        }
        for (auto const& item :
             std::map<handle, link, std::owner_less<handle>>(open_))
        {
            close(item.first);
        }
    }

private:
    /// One open connection.
    struct link
    {
        bool incoming_ = false;
        bool greeted_ = false;
        incarnation peer_;
    };

    template <class Endpoint>
    void prepare_endpoint(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&context_);
        endpoint.set_max_message_size(message_size_limit);
        endpoint.set_message_handler(
            [this](handle h, typename Endpoint::message_ptr frame)
            { on_frame(h, frame->get_payload()); });
        endpoint.set_close_handler([this](handle h) { on_close(h); });
        endpoint.set_tcp_pre_init_handler([](handle) {});
    }

    template <class Endpoint>
    void greet(handle h, Endpoint&)
    {
        link fresh;
        fresh.incoming_ = std::is_same<Endpoint, server_type>::value;
        open_[h] = fresh;
        write(h, encode_message(message{self_}));
    }

    bool write(handle const& h, std::string const& bytes)
    {
        auto const found = open_.find(h);
        if (found == open_.end())
        {
            return false;
        }
        websocketpp::lib::error_code error;
        if (found->second.incoming_)
        {
            auto const connection = server_.get_con_from_hdl(h, error);
            return !error &&
                   connection->get_buffered_amount() < waiting_limit &&
                   !connection->send(bytes, websocketpp::frame::opcode::binary);
        }
        auto const connection = client_.get_con_from_hdl(h, error);
        return !error && connection->get_buffered_amount() < waiting_limit &&
               !connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    void on_frame(handle const& h, std::string const& bytes)
    {
        auto const found = open_.find(h);
        if (found == open_.end())
        {
            return;
        }
        try
        {
            take(h, found->second, decode_message(bytes));
        }
        catch (decode_error const&)
        {
            refuse(h, reason::frame_invalid);
        }
    }

    void take(handle const& h, link& from, message what)
    {
        auto const* greeting = std::get_if<hello>(&what.body_);
        if (from.greeted_ == (greeting != nullptr))
        {
            refuse(h, reason::frame_invalid);
            return;
        }
        if (greeting == nullptr)
        {
            handler_.message_(from.peer_, std::move(what));
            return;
        }
        if (greeting->version_ != message_version)
        {
            refuse(h, reason::peer_version);
            return;
        }
        if (greeting->node_.node_ == self_.node_.node_)
        {
            refuse(h, reason::peer_duplicate_address);
            return;
        }
        from.greeted_ = true;
        from.peer_ = greeting->node_;
        links_[greeting->node_.node_] = h;
        handler_.joined_(*greeting);
    }

    void refuse(handle const& h, reason cause)
    {
        handler_.refused_(cause);
        close(h);
    }

    void close(handle const& h)
    {
        auto const found = open_.find(h);
        if (found == open_.end())
        {
            return;
        }
        websocketpp::lib::error_code error;
        auto const code = websocketpp::close::status::policy_violation;
        if (found->second.incoming_)
        {
            server_.close(h, code, "", error);
        }
        else
        {
            client_.close(h, code, "", error);
        }
    }

    void on_close(handle const& h)
    {
        auto const found = open_.find(h);
        if (found == open_.end())
        {
            return;
        }
        node_id const node = found->second.peer_.node_;
        open_.erase(found);
        auto const linked = links_.find(node);
        bool const current = linked != links_.end() &&
                             !std::owner_less<handle>{}(linked->second, h) &&
                             !std::owner_less<handle>{}(h, linked->second);
        if (current)
        {
            links_.erase(linked);
            handler_.lost_(node);
        }
    }

    void retry_later(std::string const& address)
    {
        if (stopping_)
        {
            return;
        }
        auto& delay = delays_[address];
        delay = std::clamp(delay * 2, first_delay, longest_delay);
        std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2,
                                                           delay.count());
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(context_);
        timer->expires_after(milliseconds{jitter(random_)});
        timer->async_wait(
            [weak = weak_from_this(), timer,
             address](boost::system::error_code const& error)
            {
                auto const self = weak.lock();
                if (!error && self)
                {
                    self->connect(address);
                }
            });
    }

    boost::asio::io_context& context_;
    hello self_;
    peer_link_handler handler_;
    std::mt19937_64 random_;
    server_type server_;
    client_type client_;
    std::map<handle, link, std::owner_less<handle>> open_;
    std::map<node_id, handle> links_;
    std::map<std::string, milliseconds> delays_;
    bool stopping_ = false;
};

peer_links::peer_links(boost::asio::io_context& context, hello self,
                       peer_link_handler handler)
    : impl_(
          std::make_shared<impl>(context, std::move(self), std::move(handler)))
{
    impl_->prepare();
}

peer_links::~peer_links()
{
    impl_->stop();
}

std::string peer_links::listen(std::string const& address)
{
    return impl_->listen(address);
}

void peer_links::connect(std::string const& address)
{
    impl_->connect(address);
}

bool peer_links::send(node_id const& to, message const& what)
{
    return impl_->send(to, what);
}

void peer_links::stop()
{
    impl_->stop();
}

} // namespace cuminfold
