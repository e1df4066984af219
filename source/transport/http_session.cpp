#include "transport/http_session.hpp"

#include "transport/http_head_check.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

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
    return response;
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
      shared_(std::move(shared)), overflow_(overflow)
{
}

void http_session::start()
{
    await_request();
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
    idle_ = true;
    idle_since_ = std::chrono::steady_clock::now();
    if (buffer_.size() != 0)
    {
        idle_ = false;
        limit_read();
        look_at_head();
        return;
    }
    if (shared_->stopping_)
    {
        close();
        return;
    }
    stream_.expires_after(shared_->limits_.idle_time_);
    read_more();
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
    stream_.async_read_some(
        buffer_.prepare(read_size),
        [self = shared_from_this()](error_code error, std::size_t bytes)
        { self->on_bytes(error, bytes); });
}

void http_session::on_bytes(error_code error, std::size_t bytes)
{
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
        idle_ = false;
        limit_read();
    }
    look_at_head();
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
        parse_head();
    }
}

void http_session::parse_head()
{
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t)
        { self->on_head(error); });
}

void http_session::on_head(error_code error)
{
    if (error)
    {
        on_read(error);
        return;
    }
    head_only_ = parser_->get().method() == http::verb::head;
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue") &&
        !parser_->is_done())
    {
        invite_body();
        return;
    }
    read_body();
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
                              return;
                          }
                          self->read_body();
                      });
}

void http_session::read_body()
{
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t)
                     { self->on_read(error); });
}

void http_session::on_read(error_code error)
{
    if (!error)
    {
        hand_over();
    }
    else if (out_of_time(error))
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
             error == http::error::partial_message || !is_http_error(error))
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
    write(make_rejection(status,
                         status == 413 ? "body_too_large" : "bad_request"));
}

void http_session::hand_over()
{
    reading_ = false;
    read_timer_.cancel();
    http_request request = take_request();
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

http_request http_session::take_request()
{
    auto message = parser_->release();
    http_request request;
    request.method_ = std::string(message.method_string());
    std::string const target(message.target());
    auto const mark = target.find('?');
    request.path_ = target.substr(0, mark);
    request.query_ = mark == std::string::npos ? "" : target.substr(mark + 1);
    for (auto const& field : message)
    {
        request.fields_[to_lower(std::string(field.name_string()))] =
            std::string(field.value());
    }
    keep_alive_ = message.keep_alive();
    request.body_ = std::move(message.body());
    return request;
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
    if (exchange != exchange_ || answered_)
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
        if (buffer_.size() < shared_->limits_.head_bytes_)
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
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    shared_->sessions_.erase(shared_from_this());
    shared_->check_done();
}

} // namespace cuminfold::detail
