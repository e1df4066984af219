#include "transport/http_session.hpp"

#include "transport/http_head_check.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>

namespace cuminfold::detail
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t read_size = 4096;
/// What is still read of a refused request, so that its sender sees the
/// refusal before the connection ends.
constexpr std::size_t discard_limit = 1024 * 1024;
constexpr std::chrono::milliseconds discard_time{500};
/// What an open connection takes apart from the bytes of its buffers: its own
/// objects, timers and the parts of a head.
constexpr std::size_t connection_bytes = 4096;
/// What one field of a head takes apart from its bytes: its entry in a map and
/// the allocations of its name and value.
constexpr std::size_t field_bytes = 160;
/// Copies of a request in execution besides the one that was read: the call,
/// and the message to another node.
constexpr std::size_t request_copies = 2;
constexpr unsigned unavailable_status = 503;

std::string to_lower(std::string text)
{
    for (auto& c : text)
    {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

std::string_view view_of(beast::flat_buffer const& buffer)
{
    return {static_cast<char const*>(buffer.data().data()), buffer.size()};
}

bool is_http_error(beast::error_code error)
{
    static beast::error_code const sample =
        http::make_error_code(http::error::bad_method);
    return error.category() == sample.category();
}

http_response make_rejection(unsigned status, std::string const& reason)
{
    http_response response = make_response(
        status, "application/problem+json",
        R"({"reason":")" + reason + R"(","outcome":"not-run"})" + "\n");
    response.fields_["cuminfold-outcome"] = "not-run";
    response.fields_["cuminfold-reason"] = reason;
    if (status == unavailable_status)
    {
        response.fields_["retry-after"] = "1";
    }
    return response;
}

std::string rejection_reason(unsigned status)
{
    switch (status)
    {
    case 413:
        return "body_too_large";
    case unavailable_status:
        return "connection_memory";
    default:
        return "bad_request";
    }
}

} // namespace

void http_shared_state::check_done()
{
    if (stopping_ && sessions_.empty() && done_)
    {
        std::exchange(done_, nullptr)();
    }
}

void http_shared_state::count_rejected(char const* what) const
{
    if (handler_.rejected_)
    {
        handler_.rejected_(what);
    }
}

http_session::http_session(tcp::socket socket,
                           std::shared_ptr<http_shared_state> shared,
                           bool overflow)
    : stream_(std::move(socket)), read_timer_(stream_.get_executor()),
      shared_(std::move(shared)), overflow_(overflow),
      account_(shared_->budget_, [this] { on_evicted(); })
{
}

void http_session::start()
{
    await_request();
}

/// What the connection holds if it reads on.
std::size_t http_session::held_bytes() const
{
    return connection_bytes + head_bytes_ +
           std::max(buffer_.capacity(), buffer_.size() + read_size) +
           std::max(declared_bytes_,
                    parser_ ? parser_->get().body().capacity() : 0);
}

/// Draws on the budget for what the connection holds and the next read. If
/// that is not permitted, rejects the request; if there is none, closes.
bool http_session::draw()
{
    if (account_.hold(held_bytes(), std::chrono::steady_clock::now()))
    {
        return true;
    }
    if (idle_)
    {
        shared_->count_rejected("memory_idle_connection");
        close();
    }
    else
    {
        reject("memory_request", unavailable_status);
    }
    return false;
}

/// The budget takes the connection's bytes back.
void http_session::on_evicted()
{
    // The connection's only owner may be the server's list.
    auto const self = shared_from_this();
    switch (account_.use())
    {
    case connection_use::idle:
        shared_->count_rejected("memory_idle_connection");
        break;
    case connection_use::unread_response:
        shared_->count_rejected("memory_unread_response");
        break;
    default:
        shared_->count_rejected("memory_incomplete_request");
        send_rejection();
        break;
    }
    close();
}

/// Sends a rejection if the socket takes it at once. Nothing of the request
/// has run.
void http_session::send_rejection()
{
    static constexpr std::string_view text =
        "HTTP/1.1 503 Service Unavailable\r\n"
        "cuminfold-outcome: not-run\r\n"
        "cuminfold-reason: connection_memory\r\n"
        "retry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    error_code ignored;
    stream_.socket().non_blocking(true, ignored);
    stream_.socket().write_some(asio::buffer(text.data(), text.size()),
                                ignored);
}

void http_session::close_if_idle()
{
    if (idle_)
    {
        close();
    }
}

std::optional<std::chrono::steady_clock::time_point>
http_session::idle_since() const
{
    return idle_ ? std::make_optional(idle_since_) : std::nullopt;
}

void http_session::await_request()
{
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(shared_->limits_.head_bytes_));
    parser_->body_limit(shared_->limits_.body_bytes_);
    declared_bytes_ = 0;
    head_bytes_ = 0;
    body_read_ = 0;
    slow_ = false;
    idle_ = true;
    idle_since_ = std::chrono::steady_clock::now();
    account_.set_use(connection_use::idle, idle_since_);
    if (buffer_.size() != 0)
    {
        begin_request();
        look_at_head();
        return;
    }
    if (buffer_.capacity() > 2 * read_size)
    {
        buffer_.shrink_to_fit();
    }
    if (shared_->stopping_)
    {
        close();
        return;
    }
    stream_.expires_after(shared_->limits_.idle_time_);
    read_more();
}

void http_session::begin_request()
{
    idle_ = false;
    account_.set_use(connection_use::incomplete_request,
                     std::chrono::steady_clock::now());
    limit_read();
}

/// Starts the time for the whole head and body.
void http_session::limit_read()
{
    stream_.expires_never();
    reading_ = true;
    read_timer_.expires_after(shared_->limits_.read_time_);
    read_timer_.async_wait(
        [weak = weak_from_this()](error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                self->on_read_limit();
            }
        });
}

void http_session::on_read_limit()
{
    if (reading_)
    {
        slow_ = true;
        error_code ignored;
        stream_.socket().cancel(ignored);
    }
}

bool http_session::out_of_time(error_code error) const
{
    return slow_ && error == asio::error::operation_aborted;
}

void http_session::read_more()
{
    if (slow_)
    {
        // The time was up between two reads, with nothing to cancel.
        reject("slow_request", 408);
        return;
    }
    if (!draw())
    {
        return;
    }
    stream_.async_read_some(
        buffer_.prepare(read_size),
        [self = shared_from_this()](error_code error, std::size_t bytes)
        { self->on_bytes(error, bytes); });
}

void http_session::on_bytes(error_code error, std::size_t bytes)
{
    if (closed_)
    {
        return;
    }
    if (out_of_time(error))
    {
        reject("slow_request", 408);
        return;
    }
    if (error)
    {
        close();
        return;
    }
    buffer_.commit(bytes);
    if (idle_)
    {
        begin_request();
    }
    if (parser_->got_some())
    {
        body_read_ += bytes;
        parse();
    }
    else
    {
        look_at_head();
    }
}

void http_session::look_at_head()
{
    std::string_view const bytes = view_of(buffer_);
    auto const end = find_head_end(bytes);
    if (end.value_or(bytes.size()) > shared_->limits_.head_bytes_)
    {
        reject("head_too_large", 431);
    }
    else if (!end)
    {
        read_more();
    }
    else if (!check_head(bytes.substr(0, *end)).empty())
    {
        reject("bad_request", 400);
    }
    else
    {
        parse();
    }
}

/// Parses what has been read, and reads on if the request is incomplete. What
/// the parser leaves in the buffer is a part of a head, of a chunk's head or
/// of the trailers.
void http_session::parse()
{
    while (!parser_->is_done())
    {
        bool const had_head = parser_->is_header_done();
        error_code error = http::error::need_more;
        if (buffer_.size() != 0)
        {
            buffer_.consume(parser_->put(buffer_.data(), error));
        }
        if (error == http::error::need_more)
        {
            read_rest();
            return;
        }
        if (error)
        {
            on_parse_error(error);
            return;
        }
        if (!had_head && parser_->is_header_done() && !on_head())
        {
            return;
        }
    }
    hand_over();
}

void http_session::read_rest()
{
    auto const& limits = shared_->limits_;
    if (limits.chunk_head_bytes_ != 0 && parser_->is_header_done() &&
        buffer_.size() > limits.chunk_head_bytes_)
    {
        reject("chunk_head_too_large", 431);
    }
    else if (limits.encoded_body_bytes_ != 0 &&
             body_read_ > limits.encoded_body_bytes_)
    {
        reject("encoded_body_too_large", 413);
    }
    else
    {
        read_more();
    }
}

/// False if the parser has to wait or the request has ended.
bool http_session::on_head()
{
    parser_->eager(true);
    body_read_ = buffer_.size();
    take_head();
    // The parser reserves the whole length before the first byte.
    auto const length = parser_->content_length();
    if (length && *length <= shared_->limits_.body_bytes_)
    {
        declared_bytes_ = static_cast<std::size_t>(*length);
    }
    if (!draw())
    {
        return false;
    }
    auto const expect = request_.fields_.find("expect");
    if (expect != request_.fields_.end() &&
        beast::iequals(expect->second, "100-continue") && !parser_->is_done())
    {
        invite_body();
        return false;
    }
    return true;
}

void http_session::invite_body()
{
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(stream_, asio::buffer(text.data(), text.size()),
                      [self = shared_from_this()](error_code error, std::size_t)
                      {
                          if (error)
                          {
                              self->close();
                          }
                          else if (!self->closed_)
                          {
                              self->parse();
                          }
                      });
}

void http_session::on_parse_error(error_code error)
{
    if (error == http::error::body_limit)
    {
        reject("body_too_large", 413);
    }
    else if (error == http::error::header_limit)
    {
        reject("head_too_large", 431);
    }
    else if (!is_http_error(error))
    {
        close();
    }
    else
    {
        reject("bad_request", 400);
    }
}

void http_session::reject(char const* what, unsigned status)
{
    shared_->count_rejected(what);
    keep_alive_ = false;
    rejected_ = true;
    parser_.reset();
    request_ = {};
    buffer_ = beast::flat_buffer();
    declared_bytes_ = 0;
    head_bytes_ = 0;
    write(make_rejection(status, rejection_reason(status)));
}

void http_session::hand_over()
{
    auto const now = std::chrono::steady_clock::now();
    std::size_t const body = request_copies * parser_->get().body().capacity();
    if (!account_.hold(held_bytes() + body, now))
    {
        reject("memory_request", unavailable_status);
        return;
    }
    account_.set_use(connection_use::request, now);
    reading_ = false;
    read_timer_.cancel();
    http_request request = take_request();
    request_bytes_ = body;
    declared_bytes_ = 0;
    exchange_ = shared_->next_exchange_++;
    answered_ = false;
    if (overflow_)
    {
        shared_->count_rejected("too_many_connections");
        keep_alive_ = false;
        answered_ = true;
        write(shared_->handler_.overloaded_
                  ? shared_->handler_.overloaded_(request)
                  : make_rejection(503, "queue_full"));
        return;
    }
    watch();
    shared_->handler_.request_(
        exchange_, std::move(request),
        [weak = weak_from_this(), exchange = exchange_](http_response response)
        {
            if (auto const self = weak.lock())
            {
                self->respond(exchange, std::move(response));
            }
        });
}

/// Takes over the head of a request. Trailers do not count as its fields:
/// otherwise they could replace fields that were checked with the head.
void http_session::take_head()
{
    auto& message = parser_->get();
    request_ = {};
    request_.method_ = std::string(message.method_string());
    std::string const target(message.target());
    auto const mark = target.find('?');
    request_.path_ = target.substr(0, mark);
    request_.query_ = mark == std::string::npos ? "" : target.substr(mark + 1);
    head_bytes_ = target.size();
    for (auto const& field : message)
    {
        auto name = to_lower(std::string(field.name_string()));
        std::string value(field.value());
        head_bytes_ += field_bytes + name.size() + value.size();
        request_.fields_[std::move(name)] = std::move(value);
    }
    keep_alive_ = message.keep_alive();
    head_only_ = message.method() == http::verb::head;
    message.clear();
}

http_request http_session::take_request()
{
    auto message = parser_->release();
    request_.body_ = std::move(message.body());
    return std::exchange(request_, {});
}

/// Watches for the caller's end while its request is worked on.
void http_session::watch()
{
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), exchange = exchange_](error_code error)
        {
            if (!error)
            {
                self->on_readable(exchange);
            }
        });
}

void http_session::on_readable(std::uint64_t exchange)
{
    if (closed_ || exchange != exchange_ || answered_)
    {
        return;
    }
    error_code error;
    stream_.socket().non_blocking(true, error);
    auto const bytes =
        stream_.socket().read_some(buffer_.prepare(read_size), error);
    if (!error || error == asio::error::would_block)
    {
        // The caller's next request; it has to wait.
        buffer_.commit(bytes);
        // Read no further without room for it.
        if (buffer_.size() < shared_->limits_.head_bytes_ &&
            account_.hold(held_bytes() + request_bytes_,
                          std::chrono::steady_clock::now()))
        {
            watch();
        }
        return;
    }
    answered_ = true;
    if (shared_->handler_.gone_)
    {
        shared_->handler_.gone_(exchange_);
    }
    close();
}

void http_session::respond(std::uint64_t exchange, http_response response)
{
    if (exchange == exchange_ && !answered_)
    {
        answered_ = true;
        write(std::move(response));
    }
}

void http_session::write_raw(http_response response)
{
    raw_ = std::move(response.raw_);
    keep_alive_ = keep_alive_ && !response.raw_close_;
    asio::async_write(stream_, asio::buffer(raw_),
                      [self = shared_from_this()](error_code error, std::size_t)
                      { self->on_written(error); });
}

void http_session::write(http_response response)
{
    reading_ = false;
    read_timer_.cancel();
    auto const now = std::chrono::steady_clock::now();
    request_bytes_ = 0;
    account_.set_use(connection_use::unread_response, now);
    account_.hold_regardless(
        held_bytes() + response.body_.size() + response.raw_.size(), now);
    error_code ignored;
    stream_.socket().cancel(ignored);
    stream_.expires_after(shared_->limits_.write_time_);
    if (!response.raw_.empty())
    {
        write_raw(std::move(response));
        return;
    }
    response_ = http::response<http::string_body>();
    response_.result(response.status_);
    response_.version(11);
    for (auto const& field : response.fields_)
    {
        response_.set(field.first, field.second);
    }
    keep_alive_ = keep_alive_ && !shared_->leaving_;
    response_.keep_alive(keep_alive_);
    response_.content_length(response.body_.size());
    if (!head_only_)
    {
        response_.body() = std::move(response.body_);
    }
    http::async_write(stream_, response_,
                      [self = shared_from_this()](error_code error, std::size_t)
                      { self->on_written(error); });
}

void http_session::on_written(error_code error)
{
    response_ = {};
    raw_ = {};
    if (closed_)
    {
        return;
    }
    if (error)
    {
        if (error == beast::error::timeout)
        {
            shared_->count_rejected("slow_reader");
        }
        close();
    }
    else if (rejected_)
    {
        close_lingering();
    }
    else if (!keep_alive_)
    {
        close();
    }
    else
    {
        await_request();
    }
}

void http_session::close_lingering()
{
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(discard_time);
    buffer_.clear();
    discard();
}

void http_session::discard()
{
    stream_.async_read_some(
        buffer_.prepare(read_size),
        [self = shared_from_this()](error_code error, std::size_t bytes)
        {
            if (self->closed_)
            {
                return;
            }
            self->discarded_ += bytes;
            if (error || self->discarded_ > discard_limit)
            {
                self->close();
                return;
            }
            self->discard();
        });
}

void http_session::close()
{
    closed_ = true;
    account_.close();
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    shared_->sessions_.erase(shared_from_this());
    shared_->check_done();
}

} // namespace cuminfold::detail
