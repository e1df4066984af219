#include "transport/http_client.hpp"

#include "raw_socket.hpp"
#include "transport/endpoint_text.hpp"
#include "transport/io_thread.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace cuminfold;

namespace
{

using boost::asio::ip::tcp;

/// Accepts connections and runs a script on each, in turn.
class fake_server
{
public:
    using script = std::function<void(raw_socket&)>;

    explicit fake_server(std::vector<script> scripts)
        : acceptor_(context_, parse_endpoint("127.0.0.1:0"))
    {
        thread_ = std::thread(
            [this, scripts = std::move(scripts)]
            {
                for (auto const& run : scripts)
                {
                    raw_socket peer(acceptor_);
                    run(peer);
                }
            });
    }

    ~fake_server()
    {
        thread_.join();
    }

    std::string address() const
    {
        return format_endpoint(acceptor_.local_endpoint());
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// A client whose calls wait for their end.
class waiting_client
{
public:
    explicit waiting_client(http_client_limits limits = {})
        : io_(16), client_(io_.context(), limits)
    {
        io_.start();
    }

    ~waiting_client()
    {
        std::promise<void> done;
        io_.run_from_outside(
            [&]
            {
                client_.stop();
                done.set_value();
            });
        done.get_future().wait();
        io_.stop();
    }

    http_result call(std::string const& address, std::string const& id,
                     duration timeout = std::chrono::seconds{20})
    {
        http_call call;
        call.address_ = address;
        call.target_ = "/";
        call.fields_["x-id"] = id;
        call.echo_field_ = "x-id";
        call.timeout_ = timeout;
        auto const ended = std::make_shared<std::promise<http_result>>();
        io_.run_from_outside(
            [this, call, ended]
            {
                client_.start(call, [ended](http_result result)
                              { ended->set_value(std::move(result)); });
            });
        return ended->get_future().get();
    }

private:
    io_thread io_;
    http_client client_;
};

std::string reply(std::string const& id, std::string const& body,
                  std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
}

std::string whole_reply(std::string const& id)
{
    return reply(id, "ok", 2);
}

/// One fault of a first reply; the call after it must use a new connection.
struct fault_case
{
    char const* what_;
    std::string reply_;
    bool close_;
    http_end expected_;
};

void answer_once(raw_socket& peer, std::string const& bytes)
{
    peer.read_until("\r\n\r\n");
    peer.send(bytes);
}

} // namespace

TEST_CASE("a faulty reply is no answer and its connection is never used again")
{
    std::vector<fault_case> const cases = {
        {"truncated", reply("1", "o", 2), true, http_end::truncated},
        {"no length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok", true,
         http_end::truncated},
        {"no byte", "", true, http_end::lost},
        {"garbage", "garbage\r\n\r\n", false, http_end::truncated},
        {"oversized", reply("1", std::string(200, 'x'), 200), false,
         http_end::too_large},
        {"swapped", whole_reply("2"), false, http_end::mismatched},
        {"unnamed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
         http_end::mismatched},
        {"late", "", false, http_end::timeout},
    };
    http_client_limits limits;
    limits.body_bytes_ = 100;
    for (auto const& row : cases)
    {
        CAPTURE(std::string(row.what_));
        fake_server server({[&](raw_socket& peer)
                            {
                                answer_once(peer, row.reply_);
                                if (row.close_)
                                {
                                    peer.close();
                                    return;
                                }
                                // The client closes, instead of sending a
                                // second request.
                                CHECK(peer.read_all().empty());
                            },
                            [&](raw_socket& peer)
                            { answer_once(peer, whole_reply("9")); }});
        waiting_client client(limits);
        duration const timeout = row.expected_ == http_end::timeout
                                     ? duration{std::chrono::milliseconds{50}}
                                     : duration{std::chrono::seconds{20}};
        http_result const first = client.call(server.address(), "1", timeout);
        CHECK(first.end_ == row.expected_);
        http_result const second = client.call(server.address(), "9");
        CHECK(second.end_ == http_end::whole);
        CHECK(second.response_.body_ == "ok");
    }
}

TEST_CASE("a connection is used again after a whole reply only")
{
    SUBCASE("a whole reply")
    {
        fake_server server({[](raw_socket& peer)
                            {
                                answer_once(peer, whole_reply("1"));
                                answer_once(peer, whole_reply("2"));
                            }});
        waiting_client client;
        CHECK(client.call(server.address(), "1").end_ == http_end::whole);
        CHECK(client.call(server.address(), "2").end_ == http_end::whole);
    }
    SUBCASE("a duplicated reply")
    {
        fake_server server(
            {[](raw_socket& peer)
             {
                 answer_once(peer, whole_reply("1") + whole_reply("1"));
                 CHECK(peer.read_all().empty());
             },
             [](raw_socket& peer) { answer_once(peer, whole_reply("2")); }});
        waiting_client client;
        CHECK(client.call(server.address(), "1").end_ == http_end::whole);
        http_result const second = client.call(server.address(), "2");
        CHECK(second.end_ == http_end::whole);
    }
    SUBCASE("idle for too long")
    {
        http_client_limits limits;
        limits.idle_time_ = std::chrono::milliseconds{20};
        fake_server server({[](raw_socket& peer)
                            {
                                answer_once(peer, whole_reply("1"));
                                // The client closes on its own.
                                CHECK(peer.read_all().empty());
                                CHECK(peer.closed());
                            }});
        waiting_client client(limits);
        CHECK(client.call(server.address(), "1").end_ == http_end::whole);
    }
}

TEST_CASE("a call that could not be sent says so")
{
    boost::asio::io_context context;
    tcp::acceptor free_port(context, parse_endpoint("127.0.0.1:0"));
    std::string const address = format_endpoint(free_port.local_endpoint());
    free_port.close();
    waiting_client client;
    CHECK(client.call(address, "1").end_ == http_end::not_sent);
    CHECK(client.call("nowhere", "1").end_ == http_end::not_sent);
}

TEST_CASE("a call beyond the connections to an address waits for one")
{
    struct row
    {
        char const* name_;
        bool first_ends_;
        duration timeout_;
        http_end second_;
    };
    row const rows[] = {
        {"the first is answered", true, std::chrono::seconds{20},
         http_end::whole},
        {"the first holds its connection", false, std::chrono::milliseconds{50},
         http_end::not_sent},
    };
    for (auto const& each : rows)
    {
        CAPTURE(each.name_);
        std::promise<void> asked;
        std::promise<void> go_on;
        fake_server server({[&](raw_socket& peer)
                            {
                                peer.read_until("\r\n\r\n");
                                asked.set_value();
                                go_on.get_future().wait();
                                peer.send(reply("1", "x", 1));
                                if (each.first_ends_)
                                {
                                    peer.read_until("\r\n\r\n");
                                    peer.send(reply("2", "y", 1));
                                }
                            }});
        http_client_limits limits;
        limits.connections_ = 1;
        waiting_client client(limits);
        auto const first =
            std::async(std::launch::async,
                       [&] { return client.call(server.address(), "1"); });
        asked.get_future().wait();
        auto second = std::async(
            std::launch::async,
            [&] { return client.call(server.address(), "2", each.timeout_); });
        if (!each.first_ends_)
        {
            second.wait();
        }
        go_on.set_value();
        CHECK(second.get().end_ == each.second_);
        first.wait();
    }
}

TEST_CASE("a long body is read in a few large pieces")
{
    std::string const body(100'000, 'x');
    fake_server server({[&](raw_socket& peer)
                        {
                            peer.read_until("\r\n\r\n");
                            peer.send(reply("1", body, body.size()));
                        }});
    boost::asio::io_context context;
    http_client client(context, {});
    http_call call;
    call.address_ = server.address();
    call.target_ = "/";
    http_result answer;
    client.start(std::move(call),
                 [&](http_result result)
                 {
                     answer = std::move(result);
                     client.stop();
                 });
    auto const handlers = context.run();
    CHECK(answer.end_ == http_end::whole);
    CHECK(answer.response_.body_ == body);
    // One for each 512 bytes would be 200.
    CHECK(handlers < 60);
}
