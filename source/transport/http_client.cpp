#include "transport/http_client.hpp"

#include "transport/endpoint_text.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminfold
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace
{

using clock = std::chrono::steady_clock;
/// Bytes of a body read at once.
constexpr std::size_t largest_read = 64 * 1024;
/// What a connection without a call may keep of its buffer.
constexpr std::size_t largest_idle_buffer = 4 * 1024;
/// Bound to the context's own executor: the general one costs an allocation
/// for each handler.
using socket_type =
    asio::basic_stream_socket<tcp, asio::io_context::executor_type>;

/// A connection and the bytes read ahead on it.
struct connection
{
    explicit connection(asio::io_context& context)
        : socket_(context.get_executor())
    {
    }

    socket_type socket_;
    beast::flat_buffer buffer_;
    clock::time_point idle_since_;
};
using connection_ptr = std::shared_ptr<connection>;

/// True if the other side has neither closed nor sent anything.
bool still_clean(socket_type& socket)
{
    char byte = 0;
    beast::error_code error;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

/// Closes a connection that carries no call; any other is closed by a reset.
void close_idle(connection& idle)
{
    beast::error_code ignored;
    idle.socket_.set_option(tcp::socket::linger(false, 0), ignored);
    idle.socket_.close(ignored);
}

std::string to_lower(std::string text)
{
    for (auto& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

} // namespace

class http_client::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& context, http_client_limits limits)
        : context_(context), limits_(limits), sweep_(context),
          deadline_timer_(context)
    {
    }

    std::uint64_t start(http_call call, callback done)
    {
        auto const number = next_number_++;
        auto const open = std::make_shared<open_call>();
        open->number_ = number;
        open->call_ = std::move(call);
        open->done_ = std::move(done);
        open->deadline_ = clock::now() + open->call_.timeout_;
        calls_[number] = open;
        begin(open);
        return number;
    }

    void cancel(std::uint64_t number)
    {
        auto const found = calls_.find(number);
        if (found == calls_.end())
        {
            return;
        }
        auto const open = found->second;
        open->done_ = nullptr;
        calls_.erase(found);
        drop(open);
    }

    void abandon(std::uint64_t number)
    {
        auto const found = calls_.find(number);
        if (found != calls_.end())
        {
            close_unproven(*found->second);
            cancel(number);
        }
    }

    void set_close_observer(
        std::function<void(std::string const&, std::size_t)> observer)
    {
        close_observer_ = std::move(observer);
    }

    void stop()
    {
        waiting_.clear();
        auto const calls = std::exchange(calls_, {});
        for (auto const& item : calls)
        {
            item.second->done_ = nullptr;
            drop(item.second);
        }
        for (auto const& item : std::exchange(idle_, {}))
        {
            close_all(item.second);
        }
        sweep_.cancel();
        deadline_timer_.cancel();
    }

private:
    struct open_call
    {
        std::uint64_t number_ = 0;
        http_call call_;
        callback done_;
        clock::time_point deadline_;
        /// When the call got a connection or began to open one.
        clock::time_point begun_{};
        /// When the call is given up in its present phase; `deadlines_` holds
        /// it.
        clock::time_point watched_{};
        /// Bytes of it may have left.
        bool sent_ = false;
        connection_ptr connection_;
        http::request<http::string_body> request_;
        std::optional<http::request_serializer<http::string_body>> serializer_;
        std::optional<http::response_parser<http::string_body>> parser_;
        /// What the response's `echo_field_` must be.
        std::string echo_;
    };
    using open_ptr = std::shared_ptr<open_call>;
    using idle_list = std::vector<connection_ptr>;

    static void close_all(idle_list const& idle)
    {
        for (auto const& each : idle)
        {
            close_idle(*each);
        }
    }

    void begin(open_ptr const& open)
    {
        open->begun_ = clock::now();
        auto kept = open->call_.new_connection_
                        ? nullptr
                        : take_idle(open->call_.address_);
        if (kept)
        {
            open->connection_ = std::move(kept);
            ++busy_[open->call_.address_];
            write(open);
            return;
        }
        auto const busy = busy_.find(open->call_.address_);
        if (busy != busy_.end() && busy->second >= limits_.connections_)
        {
            watch(open, open->deadline_);
            waiting_[open->call_.address_].push_back(open->number_);
            return;
        }
        connect(open);
    }

    /// A connection to that address has become free: the call that has waited
    /// longest gets its turn.
    void begin_next(std::string const& address)
    {
        auto const found = waiting_.find(address);
        if (found == waiting_.end())
        {
            return;
        }
        open_ptr next;
        while (!next && !found->second.empty())
        {
            // Calls that ended while they waited are left out.
            auto const call = calls_.find(found->second.front());
            next = call == calls_.end() ? nullptr : call->second;
            found->second.pop_front();
        }
        if (found->second.empty())
        {
            waiting_.erase(found);
        }
        if (next)
        {
            begin(next);
        }
    }

    /// Closes the idle connections to the call's address that have carried no
    /// response since the call began.
    void close_unproven(open_call const& open)
    {
        auto const found = idle_.find(open.call_.address_);
        if (found == idle_.end())
        {
            return;
        }
        auto& kept = found->second;
        auto const unproven =
            std::stable_partition(kept.begin(), kept.end(),
                                  [&](connection_ptr const& each)
                                  { return each->idle_since_ > open.begun_; });
        auto const closed =
            static_cast<std::size_t>(std::distance(unproven, kept.end()));
        close_all({unproven, kept.end()});
        kept.erase(unproven, kept.end());
        if (kept.empty())
        {
            idle_.erase(found);
        }
        if (closed != 0 && close_observer_)
        {
            close_observer_(open.call_.address_, closed);
        }
    }

    connection_ptr take_idle(std::string const& address)
    {
        auto const found = idle_.find(address);
        if (found == idle_.end())
        {
            return nullptr;
        }
        auto& kept = found->second;
        while (!kept.empty())
        {
            auto last = std::move(kept.back());
            kept.pop_back();
            bool const young =
                clock::now() - last->idle_since_ < limits_.idle_time_;
            if (young && still_clean(last->socket_))
            {
                return last;
            }
            close_idle(*last);
        }
        return nullptr;
    }

    /// Gives the call up at that time unless it is watched anew before.
    void watch(open_ptr const& open, clock::time_point until)
    {
        unwatch(*open);
        open->watched_ = until;
        deadlines_.emplace(until, open->number_);
        if (until < deadline_armed_)
        {
            arm_deadline_timer();
        }
    }

    void unwatch(open_call& open)
    {
        if (open.watched_ != clock::time_point{})
        {
            deadlines_.erase({open.watched_, open.number_});
            open.watched_ = {};
        }
    }

    /// One timer serves all calls: a timer for each would cost more than the
    /// call itself.
    void arm_deadline_timer()
    {
        deadline_armed_ = deadlines_.begin()->first;
        deadline_timer_.expires_at(deadline_armed_);
        deadline_timer_.async_wait(
            [weak = weak_from_this()](beast::error_code error)
            {
                auto const self = weak.lock();
                if (self && !error)
                {
                    self->end_overdue();
                }
            });
    }

    void end_overdue()
    {
        deadline_armed_ = clock::time_point::max();
        auto const now = clock::now();
        while (!deadlines_.empty() && deadlines_.begin()->first <= now)
        {
            auto const number = deadlines_.begin()->second;
            deadlines_.erase(deadlines_.begin());
            auto const found = calls_.find(number);
            if (found != calls_.end())
            {
                // A copy: the call leaves the map when it ends.
                auto const open = found->second;
                open->watched_ = {};
                end(open, open->sent_ ? http_end::timeout : http_end::not_sent);
            }
        }
        if (!deadlines_.empty() && deadlines_.begin()->first < deadline_armed_)
        {
            arm_deadline_timer();
        }
    }

    void connect(open_ptr const& open)
    {
        tcp::endpoint at;
        try
        {
            at = parse_endpoint(open->call_.address_);
        }
        catch (std::invalid_argument const&)
        {
            end_later(open, http_end::not_sent);
            return;
        }
        open->connection_ = std::make_shared<connection>(context_);
        ++busy_[open->call_.address_];
        auto const limit = clock::now() + limits_.connect_time_;
        watch(open, std::min(limit, open->deadline_));
        open->connection_->socket_.async_connect(
            at, [self = shared_from_this(), open,
                 kept = open->connection_](beast::error_code error)
            { self->on_connect(open, error); });
    }

    void on_connect(open_ptr const& open, beast::error_code error)
    {
        if (!open->done_)
        {
            return;
        }
        if (error)
        {
            end(open, http_end::not_sent);
            return;
        }
        auto& socket = open->connection_->socket_;
        socket.set_option(tcp::no_delay(true), error);
        // Closed by a reset while it carries a call: one that is given up must
        // not be delivered later.
        socket.set_option(tcp::socket::linger(true, 0), error);
        socket.non_blocking(true, error);
        write(open);
    }

    void write(open_ptr const& open)
    {
        if (clock::now() >= open->deadline_)
        {
            end_later(open, http_end::not_sent);
            return;
        }
        auto& request = open->request_;
        request.method_string(open->call_.method_);
        request.target(open->call_.target_);
        request.version(11);
        request.set(http::field::host, open->call_.address_);
        for (auto const& field : open->call_.fields_)
        {
            request.set(field.first, field.second);
        }
        if (!open->call_.echo_field_.empty())
        {
            open->echo_ = std::string(request[open->call_.echo_field_]);
        }
        request.body() = std::move(open->call_.body_);
        request.prepare_payload();
        watch(open, open->deadline_);
        open->sent_ = true;
        open->serializer_.emplace(request);
        write_now(open);
    }

    /// Most requests fit the socket's buffer at once; only the rest of one
    /// that does not is waited for.
    void write_now(open_ptr const& open)
    {
        auto& socket = open->connection_->socket_;
        beast::error_code error;
        while (!open->serializer_->is_done() && !error)
        {
            http::write_some(socket, *open->serializer_, error);
        }
        if (error == asio::error::would_block)
        {
            http::async_write(
                socket, *open->serializer_,
                [self = shared_from_this(), open, kept = open->connection_](
                    beast::error_code failed, std::size_t)
                { self->on_written(open, failed); });
        }
        else if (error)
        {
            end_later(open, http_end::lost);
        }
        else
        {
            on_written(open, error);
        }
    }

    void on_written(open_ptr const& open, beast::error_code error)
    {
        if (!open->done_)
        {
            return;
        }
        if (error)
        {
            end(open, http_end::lost);
            return;
        }
        if (open->call_.on_written_)
        {
            open->call_.on_written_();
        }
        open->parser_.emplace();
        open->parser_->header_limit(
            static_cast<std::uint32_t>(limits_.head_bytes_));
        open->parser_->body_limit(limits_.body_bytes_);
        // Read on its own: read together with a body, a length over the limit
        // would be passed over.
        http::async_read_header(
            open->connection_->socket_, open->connection_->buffer_,
            *open->parser_,
            [self = shared_from_this(), open,
             kept = open->connection_](beast::error_code failed, std::size_t)
            { self->on_head(open, failed); });
    }

    void on_head(open_ptr const& open, beast::error_code error)
    {
        if (!open->done_)
        {
            return;
        }
        auto& buffer = open->connection_->buffer_;
        if (!error && !open->parser_->is_done() && buffer.size() != 0)
        {
            // The body mostly came with the head.
            buffer.consume(open->parser_->put(buffer.data(), error));
            if (error == http::error::need_more)
            {
                error = {};
            }
        }
        if (error || open->parser_->is_done())
        {
            on_read(open, error);
            return;
        }
        // Without this the library reads 512 bytes at a time, each of them
        // after everything else that the thread has to do.
        auto const left = open->parser_->content_length_remaining();
        buffer.reserve(static_cast<std::size_t>(
            std::min<std::uint64_t>(left.value_or(0), largest_read)));
        http::async_read(
            open->connection_->socket_, buffer, *open->parser_,
            [self = shared_from_this(), open,
             kept = open->connection_](beast::error_code failed, std::size_t)
            { self->on_read(open, failed); });
    }

    void on_read(open_ptr const& open, beast::error_code error)
    {
        if (!open->done_)
        {
            return;
        }
        if (error)
        {
            end(open, end_of(error, *open->parser_));
            return;
        }
        auto const& response = open->parser_->get();
        if (!has_framed_body(response))
        {
            // A body that only the connection's end ends may be cut short.
            end(open, http_end::truncated);
        }
        else if (!open->call_.echo_field_.empty() &&
                 response[open->call_.echo_field_] != open->echo_)
        {
            end(open, http_end::mismatched);
        }
        else
        {
            finish(open);
        }
    }

    static bool
    has_framed_body(http::response<http::string_body> const& response)
    {
        return response.result() == http::status::no_content ||
               response.has_content_length() || response.chunked();
    }

    static http_end
    end_of(beast::error_code error,
           http::response_parser<http::string_body> const& parser)
    {
        if (error == http::error::body_limit ||
            error == http::error::header_limit)
        {
            return http_end::too_large;
        }
        return parser.got_some() ? http_end::truncated : http_end::lost;
    }

    void finish(open_ptr const& open)
    {
        auto message = open->parser_->release();
        http_result result;
        result.end_ = http_end::whole;
        result.response_.status_ = message.result_int();
        for (auto const& field : message)
        {
            result.response_
                .fields_[to_lower(std::string(field.name_string()))] =
                std::string(field.value());
        }
        result.response_.body_ = std::move(message.body());
        bool const clean =
            message.keep_alive() && open->connection_->buffer_.size() == 0;
        unwatch(*open);
        release(open->call_.address_);
        if (clean)
        {
            keep(open->call_.address_, std::move(open->connection_));
        }
        open->connection_.reset();
        calls_.erase(open->number_);
        begin_next(open->call_.address_);
        std::exchange(open->done_, nullptr)(std::move(result));
    }

    /// Whether the other side has answered a call that ended so.
    static bool is_answered(http_end how)
    {
        return how == http_end::whole || how == http_end::mismatched ||
               how == http_end::too_large;
    }

    void end(open_ptr const& open, http_end how)
    {
        calls_.erase(open->number_);
        if (!is_answered(how))
        {
            close_unproven(*open);
        }
        drop(open);
        auto const done = std::exchange(open->done_, nullptr);
        if (done)
        {
            http_result result;
            result.end_ = how;
            done(std::move(result));
        }
    }

    void end_later(open_ptr const& open, http_end how)
    {
        asio::post(context_, [self = shared_from_this(), open, how]
                   { self->end(open, how); });
    }

    /// A connection to an address carries no request any more.
    void release(std::string const& address)
    {
        auto const found = busy_.find(address);
        if (--found->second == 0)
        {
            busy_.erase(found);
        }
    }

    void keep(std::string const& address, connection_ptr idle)
    {
        auto const busy = busy_.find(address);
        std::size_t const used = busy == busy_.end() ? 0 : busy->second;
        auto& kept = idle_[address];
        if (kept.size() + used < limits_.connections_)
        {
            idle->idle_since_ = clock::now();
            if (idle->buffer_.capacity() > largest_idle_buffer)
            {
                idle->buffer_.shrink_to_fit();
            }
            kept.push_back(std::move(idle));
        }
        else
        {
            close_idle(*idle);
        }
        sweep_later();
    }

    /// Closes idle connections in time, also to addresses that nobody calls
    /// any more.
    void sweep_later()
    {
        if (sweeping_)
        {
            return;
        }
        sweeping_ = true;
        sweep_.expires_after(limits_.idle_time_);
        sweep_.async_wait(
            [weak = weak_from_this()](beast::error_code error)
            {
                auto const self = weak.lock();
                if (self)
                {
                    self->sweeping_ = false;
                }
                if (self && !error)
                {
                    self->sweep();
                }
            });
    }

    void sweep()
    {
        auto const oldest = clock::now() - limits_.idle_time_;
        for (auto place = idle_.begin(); place != idle_.end();)
        {
            auto& kept = place->second;
            auto const young =
                std::partition(kept.begin(), kept.end(),
                               [&](connection_ptr const& each)
                               { return each->idle_since_ <= oldest; });
            close_all({kept.begin(), young});
            kept.erase(kept.begin(), young);
            place = kept.empty() ? idle_.erase(place) : std::next(place);
        }
        if (!idle_.empty())
        {
            sweep_later();
        }
    }

    void drop(open_ptr const& open)
    {
        unwatch(*open);
        if (open->connection_)
        {
            beast::error_code ignored;
            open->connection_->socket_.close(ignored);
            release(open->call_.address_);
            // Handlers that are still to come keep the connection's memory.
            open->connection_.reset();
            begin_next(open->call_.address_);
        }
    }

    asio::io_context& context_;
    http_client_limits limits_;
    asio::steady_timer sweep_;
    bool sweeping_ = false;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, open_ptr> calls_;
    std::unordered_map<std::string, std::size_t> busy_;
    /// Calls that wait for a connection, by address.
    std::unordered_map<std::string, std::deque<std::uint64_t>> waiting_;
    std::unordered_map<std::string, idle_list> idle_;
    asio::steady_timer deadline_timer_;
    /// What the timer waits for.
    clock::time_point deadline_armed_ = clock::time_point::max();
    std::set<std::pair<clock::time_point, std::uint64_t>> deadlines_;
    std::function<void(std::string const&, std::size_t)> close_observer_;
};

http_client::http_client(asio::io_context& context, http_client_limits limits)
    : impl_(std::make_shared<impl>(context, limits))
{
}

http_client::~http_client()
{
    impl_->stop();
}

std::uint64_t http_client::start(http_call call, callback done)
{
    return impl_->start(std::move(call), std::move(done));
}

void http_client::cancel(std::uint64_t number)
{
    impl_->cancel(number);
}

void http_client::abandon(std::uint64_t number)
{
    impl_->abandon(number);
}

void http_client::set_close_observer(
    std::function<void(std::string const&, std::size_t)> observer)
{
    impl_->set_close_observer(std::move(observer));
}

void http_client::stop()
{
    impl_->stop();
}

} // namespace cuminfold
