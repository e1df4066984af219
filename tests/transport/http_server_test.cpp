#include "transport/http_server.hpp"

#include "raw_socket.hpp"
#include "transport/connection_budget.hpp"
#include "transport/io_thread.hpp"

#include <doctest/doctest.h>

#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

/// A server that answers each request with its method, path and body, but
/// holds those to `/hold`, and counts what it hears.
class echo_server
{
public:
    explicit echo_server(http_server_limits limits = {},
                         std::shared_ptr<connection_budget> budget = nullptr)
        : io_(64),
          server_(io_.context(), limits, make_handler(), std::move(budget))
    {
        address_ = server_.listen("127.0.0.1:0");
        io_.start();
    }

    ~echo_server()
    {
        io_.stop();
    }

    std::string const& address() const
    {
        return address_;
    }

    /// Waits until an event was heard that often; false after a long time.
    bool wait_for(std::string const& what, int count = 1)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds{30},
                                 [&] { return heard_[what] >= count; });
    }

    int count(std::string const& what)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return heard_[what];
    }

    void release_held()
    {
        io_.run_from_outside(
            [this]
            {
                for (auto const& respond : held_)
                {
                    respond(make_response(200, "text/plain", "released"));
                }
                held_.clear();
            });
    }

    std::future<void> stop()
    {
        auto const done = std::make_shared<std::promise<void>>();
        io_.run_from_outside([this, done]
                             { server_.stop([done] { done->set_value(); }); });
        return done->get_future();
    }

private:
    void hear(std::string const& what)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        ++heard_[what];
        changed_.notify_all();
    }

    http_handler make_handler()
    {
        http_handler handler;
        handler.request_ =
            [this](std::uint64_t, http_request request, http_responder respond)
        {
            if (request.path_ == "/hold")
            {
                held_.push_back(respond);
            }
            else
            {
                std::size_t const size =
                    request.path_ == "/large" ? 64U * 1024 * 1024 : 0;
                respond(make_response(200, "text/plain",
                                      request.method_ + " " + request.path_ +
                                          " " + request.body_ +
                                          request.field("x-extra") +
                                          std::string(size, 'x')));
            }
            hear("request");
        };
        handler.gone_ = [this](std::uint64_t) { hear("gone"); };
        handler.rejected_ = [this](char const* what) { hear(what); };
        return handler;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, int> heard_;
    io_thread io_;
    http_server server_;
    std::string address_;
    std::vector<http_responder> held_;
};

/// One head or request and what comes of it.
struct form_case
{
    char const* what_;
    std::string bytes_;
    char const* status_;
    char const* counted_;
};

http_server_limits small_limits()
{
    http_server_limits limits;
    limits.head_bytes_ = 1024;
    limits.body_bytes_ = 64;
    return limits;
}

} // namespace

TEST_CASE("requests of a doubtful form are refused")
{
    std::string const host = "Host: x\r\n";
    std::vector<form_case> const cases = {
        {"length and chunked",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400", "bad_request"},
        {"two lengths",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
         "400", "bad_request"},
        {"the same length twice",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
         "400", "bad_request"},
        {"a signed length",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: +1\r\n\r\na", "400",
         "bad_request"},
        {"a folded line", "GET / HTTP/1.1\r\n" + host + "A: b\r\n c\r\n\r\n",
         "400", "bad_request"},
        {"bare line feeds", "GET / HTTP/1.1\nHost: x\n\n", "400",
         "bad_request"},
        {"one bare line feed", "GET / HTTP/1.1\r\nA: b\nHost: x\r\n\r\n", "400",
         "bad_request"},
        {"white space before the colon",
         "GET / HTTP/1.1\r\n" + host + "A : b\r\n\r\n", "400", "bad_request"},
        {"a key twice",
         "POST / HTTP/1.1\r\n" + host +
             "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
         "400", "bad_request"},
        {"no request line", "nonsense\r\n\r\n", "400", "bad_request"},
        {"a large head",
         "GET / HTTP/1.1\r\n" + host + "A: " + std::string(2000, 'a'), "431",
         "head_too_large"},
        {"a large body",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 65\r\n\r\n", "413",
         "body_too_large"},
        {"a large chunked body",
         "POST / HTTP/1.1\r\n" + host +
             "Transfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65, 'a') +
             "\r\n0\r\n\r\n",
         "413", "body_too_large"},
    };
    for (auto const& row : cases)
    {
        CAPTURE(std::string(row.what_));
        echo_server server(small_limits());
        raw_socket caller(server.address());
        caller.send(row.bytes_);
        std::string const reply = caller.read_all();
        CHECK(reply.substr(0, 12) == "HTTP/1.1 " + std::string(row.status_));
        CHECK(reply.find("\"outcome\":\"not-run\"") != std::string::npos);
        CHECK(caller.closed());
        CHECK(server.count(row.counted_) == 1);
        CHECK(server.count("request") == 0);
    }
}

TEST_CASE("usual requests are answered")
{
    struct row
    {
        std::string bytes_;
        std::string expected_;
    };
    std::vector<row> const rows = {
        {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /a "},
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi",
         "POST /a hi"},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
         "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         "POST /a hi"},
        {"BREW /a HTTP/1.1\r\nHost: x\r\n\r\n", "BREW /a "},
    };
    echo_server server;
    for (auto const& item : rows)
    {
        raw_socket caller(server.address());
        caller.send(item.bytes_);
        CHECK(caller.read_until(item.expected_).find("HTTP/1.1 200") == 0);
    }
}

TEST_CASE("the answer to HEAD has no body")
{
    echo_server server;
    raw_socket caller(server.address());
    caller.send("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n"
                "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    std::string const reply = caller.read_all();
    CHECK(reply.find("HEAD /a") == std::string::npos);
    CHECK(reply.find("GET /b") != std::string::npos);
}

TEST_CASE("a caller that expects it is told to continue")
{
    echo_server server;
    raw_socket caller(server.address());
    caller.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    CHECK(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("hi");
    CHECK(caller.read_until("POST /a hi").find("HTTP/1.1 200") == 0);
}

TEST_CASE("pipelined requests are answered in order")
{
    echo_server server;
    raw_socket caller(server.address());
    caller.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.wait_for("request"));
    caller.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
                "GET /c HTTP/1.1\r\nHost: x\r\n\r\n");
    server.release_held();
    std::string const reply = caller.read_until("GET /c ");
    CHECK(reply.find("released") < reply.find("GET /b "));
    CHECK(reply.find("GET /b ") < reply.find("GET /c "));
}

TEST_CASE("slow callers are dropped and counted")
{
    http_server_limits limits;
    limits.read_time_ = std::chrono::milliseconds{50};
    limits.write_time_ = std::chrono::milliseconds{50};
    echo_server server(limits);
    SUBCASE("a head that does not end")
    {
        raw_socket caller(server.address());
        caller.send("GET / HTTP/1.1\r\nHost: x\r\n");
        CHECK(caller.read_all().find("HTTP/1.1 408") == 0);
        CHECK(server.count("slow_request") == 1);
    }
    SUBCASE("a body that does not end")
    {
        raw_socket caller(server.address());
        caller.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\na");
        CHECK(caller.read_all().find("HTTP/1.1 408") == 0);
        CHECK(server.count("slow_request") == 1);
    }
    SUBCASE("an answer that is not read")
    {
        raw_socket caller(server.address());
        caller.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(server.wait_for("slow_reader"));
    }
}

TEST_CASE("a caller that disconnects is reported")
{
    echo_server server;
    raw_socket caller(server.address());
    caller.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.wait_for("request"));
    SUBCASE("at once") {}
    SUBCASE("after the start of its next request")
    {
        caller.send("GET /b HT");
    }
    caller.close();
    CHECK(server.wait_for("gone"));
    server.release_held();
}

TEST_CASE("callers over the limit of connections are told so")
{
    http_server_limits limits;
    limits.connections_ = 1;
    echo_server server(limits);
    raw_socket first(server.address());
    first.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.wait_for("request"));
    raw_socket second(server.address());
    second.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    std::string const reply = second.read_all();
    CHECK(reply.find("HTTP/1.1 503") == 0);
    CHECK(reply.find("not-run") != std::string::npos);
    CHECK(server.count("too_many_connections") == 1);
    server.release_held();
    CHECK(first.read_until("released").find("HTTP/1.1 200") == 0);
}

// Guards against connections of unreachable callers that kept all new ones out
// of a server.
TEST_CASE("a new caller takes the place of the longest idle connection")
{
    http_server_limits limits;
    limits.connections_ = 3;
    limits.eviction_idle_time_ = std::chrono::seconds{0};
    echo_server server(limits);
    raw_socket busy(server.address());
    busy.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.wait_for("request"));
    raw_socket first_idle(server.address());
    raw_socket second_idle(server.address());
    for (auto* const idle : {&first_idle, &second_idle})
    {
        idle->send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(idle->read_until("GET /a ").find("HTTP/1.1 200") == 0);
    }
    raw_socket fresh(server.address());
    fresh.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(fresh.read_until("GET /b ").find("HTTP/1.1 200") == 0);
    CHECK(server.count("idle_connection_evicted") == 1);
    CHECK(server.count("too_many_connections") == 0);
    first_idle.read_all();
    CHECK(first_idle.closed());
    second_idle.send("GET /c HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(second_idle.read_until("GET /c ").find("HTTP/1.1 200") == 0);
    server.release_held();
    CHECK(busy.read_until("released").find("HTTP/1.1 200") == 0);
}

TEST_CASE("a connection that was idle for a moment only is not closed")
{
    http_server_limits limits;
    limits.connections_ = 1;
    limits.eviction_idle_time_ = std::chrono::hours{1};
    echo_server server(limits);
    raw_socket idle(server.address());
    idle.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(idle.read_until("GET /a ").find("HTTP/1.1 200") == 0);
    raw_socket fresh(server.address());
    fresh.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(fresh.read_all().find("HTTP/1.1 503") == 0);
    CHECK(server.count("too_many_connections") == 1);
    CHECK(server.count("idle_connection_evicted") == 0);
}

TEST_CASE("a server that stops answers what it has and what still comes")
{
    http_server_limits limits;
    limits.stop_grace_ = std::chrono::milliseconds{300};
    echo_server server(limits);
    raw_socket busy(server.address());
    raw_socket idle(server.address());
    idle.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(idle.read_until("GET /a ").find("HTTP/1.1 200") == 0);
    busy.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(server.wait_for("request", 2));
    auto const stopped = server.stop();
    server.release_held();
    CHECK(busy.read_all().find("Connection: close") != std::string::npos);
    idle.read_all();
    CHECK(idle.closed());
    CHECK(stopped.wait_for(std::chrono::seconds{30}) ==
          std::future_status::ready);
}

// Guards against memory that grows with what a chunked body carries besides
// its bytes.
TEST_CASE("heads of chunks, trailers and encoded bodies are bounded")
{
    struct row
    {
        char const* name_;
        std::string body_;
        std::string status_;
        std::string cause_;
    };
    std::string const letters(6000, 'a');
    std::string ones;
    for (int i = 0; i < 2000; ++i)
    {
        ones += "1\r\nx\r\n";
    }
    std::string const large = "chunk_head_too_large";
    std::vector<row> const rows = {
        {"a short extension and trailer",
         "1;a=b\r\nx\r\n0\r\nx-trailer: 1\r\n\r\n", "200", ""},
        {"some one-byte chunks", ones.substr(0, 6000) + "0\r\n\r\n", "200", ""},
        {"a long extension", "1;a=" + letters, "431", large},
        {"a long extension of the last chunk", "0;a=" + letters, "431", large},
        {"a long trailer", "0\r\nx-trailer: " + letters, "431", large},
        {"many one-byte chunks", ones, "413", "encoded_body_too_large"},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        http_server_limits limits;
        limits.chunk_head_bytes_ = 1024;
        limits.encoded_body_bytes_ = 10'000;
        auto const budget = std::make_shared<connection_budget>(1U << 20U);
        echo_server server(limits, budget);
        raw_socket caller(server.address());
        caller.send("POST /a HTTP/1.1\r\nhost: h\r\n"
                    "transfer-encoding: chunked\r\n\r\n" +
                    each.body_);
        CHECK(caller.read_until("\r\n").substr(9, 3) == each.status_);
        if (!each.cause_.empty())
        {
            CHECK(server.wait_for(each.cause_));
            caller.read_all();
            CHECK(caller.closed());
        }
    }
}

// Guards against trailers that replace fields which were checked with the head,
// such as a key.
TEST_CASE("trailers are not fields of the request")
{
    echo_server server;
    for (std::string const head : {"", "x-extra: of the head\r\n"})
    {
        raw_socket caller(server.address());
        caller.send("POST /a HTTP/1.1\r\nhost: h\r\n" + head +
                    "transfer-encoding: chunked\r\nconnection: close\r\n\r\n"
                    "1\r\nb\r\n0\r\nx-extra: of a trailer\r\n\r\n");
        auto const answer = caller.read_all();
        CHECK(answer.find("POST /a b") != std::string::npos);
        CHECK(answer.find("of a trailer") == std::string::npos);
        CHECK((answer.find("of the head") != std::string::npos) ==
              !head.empty());
    }
}

TEST_CASE("a request that exceeds the memory for connections is rejected")
{
    auto const budget = std::make_shared<connection_budget>(100'000);
    echo_server server({}, budget);
    raw_socket caller(server.address());
    caller.send("POST /a HTTP/1.1\r\nhost: h\r\n"
                "content-length: 200000\r\n\r\n");
    auto const head = caller.read_until("\r\n\r\n");
    CHECK(head.find(" 503 ") != std::string::npos);
    CHECK(head.find("cuminfold-outcome: not-run") != std::string::npos);
    CHECK(server.wait_for("memory_request"));
    CHECK(server.count("request") == 0);
    raw_socket next(server.address());
    next.send("GET /b HTTP/1.1\r\nhost: h\r\n\r\n");
    CHECK(next.read_until("\r\n").find(" 200 ") != std::string::npos);
}

// Guards against stalled requests that keep new ones out.
TEST_CASE("a new request takes the memory of a stalled one")
{
    auto const budget = std::make_shared<connection_budget>(100'000);
    echo_server server({}, budget);
    std::string const head = "POST /a HTTP/1.1\r\nhost: h\r\n"
                             "content-length: 20000\r\n\r\n";
    std::string const body(20'000, 'x');
    raw_socket stalled(server.address());
    stalled.send("POST /a HTTP/1.1\r\nhost: h\r\n"
                 "content-length: 60000\r\n\r\n" +
                 body);
    raw_socket held(server.address());
    held.send("GET /hold HTTP/1.1\r\nhost: h\r\n\r\n");
    REQUIRE(server.wait_for("request"));
    raw_socket next(server.address());
    next.send(head + body);
    CHECK(next.read_until("\r\n").find(" 200 ") != std::string::npos);
    CHECK(server.wait_for("memory_incomplete_request"));
    stalled.read_all();
    server.release_held();
    CHECK(held.read_until("released").find(" 200 ") != std::string::npos);
    CHECK(budget->used() <= budget->limit());
}
