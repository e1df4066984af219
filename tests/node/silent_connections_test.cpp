#include "node/client_frontend.hpp"
#include "node/node_clock.hpp"
#include "node/peer_api.hpp"
#include "soak/fault_link.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

/// Much longer than a lost call takes to be found.
constexpr std::chrono::milliseconds client_deadline{20'000};
constexpr std::size_t connections = 6;

/// An owner on a thread of its own.
class played_owner
{
public:
    played_owner() : api_(context_, make_handler(), settings_, nullptr)
    {
        address_ = api_.listen("127.0.0.1:0");
        thread_ = std::thread([this] { context_.run(); });
    }

    ~played_owner()
    {
        context_.stop();
        thread_.join();
    }

    std::string const& address() const
    {
        return address_;
    }

    /// From now on each pass over the owner's sockets takes this time.
    void begin_load(std::chrono::milliseconds pass)
    {
        boost::asio::post(context_, [this, pass] { repeat_load(pass); });
    }

    /// How long it takes for a call.
    std::atomic<std::chrono::milliseconds> answer_time_{0ms};
    /// Calls that it has received.
    std::atomic<std::size_t> received_{0};

private:
    void repeat_load(std::chrono::milliseconds pass)
    {
        std::this_thread::sleep_for(pass);
        begin_load(pass);
    }

    peer_handler make_handler()
    {
        peer_handler handler;
        handler.on_ping_ = [] { return peer_ping{}; };
        handler.on_metrics_ = [] { return std::string(); };
        handler.on_rejected_ = [](char const*) {};
        handler.on_call_ =
            [this](client_call const&,
                   std::function<void(client_answer)> const& done)
        {
            ++received_;
            auto const timer =
                std::make_shared<boost::asio::steady_timer>(context_);
            timer->expires_after(answer_time_.load());
            timer->async_wait(
                [timer, done](boost::system::error_code)
                {
                    client_answer answer;
                    answer.kind_ = answer_kind::status;
                    done(answer);
                });
        };
        return handler;
    }

    boost::asio::io_context context_{1};
    node_settings settings_;
    peer_api api_;
    std::string address_;
    std::thread thread_;
};

/// A node that forwards its clients' calls to an owner over a link.
class forwarding_node
{
public:
    forwarding_node()
        : log_(metrics_), http_(context_, {}), peer_http_(context_, {}),
          ping_http_(context_, {}), link_(context_),
          frontend_(context_, peer_http_, ping_http_, 7, make_handler(), log_,
                    metrics_, settings_, nullptr)
    {
        link_.set_target(owner_.address());
        address_ = frontend_.listen("127.0.0.1:0");
    }

    /// Sends calls at once and waits for all of their answers.
    /// @return their statuses; 0 without an answer
    std::vector<unsigned> call(std::size_t count)
    {
        start(count);
        wait();
        return statuses_;
    }

    void start(std::size_t count)
    {
        statuses_.clear();
        open_ = count;
        for (std::size_t i = 0; i < count; ++i)
        {
            http_call call;
            call.address_ = address_;
            call.method_ = "GET";
            call.target_ = "/queue/" + std::to_string(1'000'000 + next_call_++);
            call.fields_["host"] = "host";
            call.fields_["deadline-ms"] =
                std::to_string(client_deadline.count());
            call.timeout_ = client_deadline + 5s;
            http_.start(std::move(call),
                        [this](http_result const& result)
                        {
                            statuses_.push_back(result.end_ == http_end::whole
                                                    ? result.response_.status_
                                                    : 0);
                            --open_;
                        });
        }
    }

    void wait()
    {
        while (open_ != 0)
        {
            context_.run_one();
        }
    }

    /// Runs until the owner has received this many calls.
    void run_until_received(std::size_t calls)
    {
        while (owner_.received_ < calls)
        {
            context_.run_one();
        }
    }

    boost::asio::io_context context_{1};
    node_settings settings_;
    metrics metrics_;
    decision_log log_;
    http_client http_;
    http_client peer_http_;
    http_client ping_http_;
    played_owner owner_;
    fault_link link_;
    client_frontend frontend_;
    std::string address_;
    std::vector<unsigned> statuses_;

private:
    client_frontend_handler make_handler()
    {
        client_frontend_handler handler;
        handler.locate_owner_ = [this] {
            return owner_location{1, link_.address(), false, true};
        };
        handler.call_local_ = [](client_call const&,
                                 std::function<void(client_answer)> const&) {};
        handler.config_version_ = [] { return 1; };
        handler.has_workspaces_ = [] { return false; };
        handler.store_outage_ = [] { return duration{0}; };
        return handler;
    }

    std::size_t open_ = 0;
    std::size_t next_call_ = 0;
};

struct silence_case
{
    char const* name_;
    link_fault ways_;
    /// Silenced while calls are in flight, else while connections are idle.
    bool in_flight_;
    std::size_t rounds_;
};

silence_case const silences[] = {
    {"idle connections", link_fault::silence, false, 1},
    {"idle connections, towards the owner", link_fault::hold_calls, false, 1},
    {"idle connections, answers alone", link_fault::hold_answers, false, 1},
    {"connections with calls", link_fault::silence, true, 1},
    {"connections with calls, answers alone", link_fault::hold_answers, true,
     1},
    {"again and again", link_fault::silence, false, 3},
};

} // namespace

// Guards against a 504 for an accepted job: each connection to the owner that
// has gone silent takes the whole time of one request.
TEST_CASE("clients get answers while connections to the owner are silent")
{
    for (auto const& each : silences)
    {
        CAPTURE(std::string(each.name_));
        forwarding_node node;
        std::vector<unsigned> const all_answered(connections, 200);
        REQUIRE(node.call(connections) == all_answered);
        for (std::size_t round = 0; round < each.rounds_; ++round)
        {
            if (each.in_flight_)
            {
                node.owner_.answer_time_ = 300ms;
                node.start(connections);
                node.run_until_received(node.owner_.received_ + connections);
                CHECK(node.link_.silence_open(each.ways_) >= connections);
                node.wait();
                CHECK(node.statuses_ == all_answered);
            }
            else
            {
                CHECK(node.link_.silence_open(each.ways_) >= connections);
                // One at a time: each meets what the one before it left.
                for (std::size_t i = 0; i < connections; ++i)
                {
                    CHECK(node.call(1) == std::vector<unsigned>{200});
                }
                REQUIRE(node.call(connections) == all_answered);
            }
        }
        CHECK(node.metrics_.write().find("cuminfold_calls_lost_total") !=
              std::string::npos);
    }
}

// Guards against a busy owner that gets more calls the busier it is.
TEST_CASE("an owner that answers late gets each call once")
{
    struct row
    {
        char const* name_;
        std::chrono::milliseconds answer_time_;
        std::chrono::milliseconds pass_;
        std::size_t calls_;
    };
    row const rows[] = {
        {"it takes long for each call", 2000ms, 0ms, connections},
        // One connection is accepted in each pass.
        {"it accepts connections late", 0ms, 30ms, 40},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        forwarding_node node;
        // Opens the connections that pings use.
        ping_peer(node.ping_http_, node.link_.address(), 20s,
                  [](std::optional<peer_ping> const&) {});
        REQUIRE(node.call(1) == std::vector<unsigned>{200});
        node.owner_.answer_time_ = each.answer_time_;
        if (each.pass_ != 0ms)
        {
            node.owner_.begin_load(each.pass_);
        }
        CHECK(node.call(each.calls_) ==
              std::vector<unsigned>(each.calls_, 200));
        CHECK(node.owner_.received_ == each.calls_ + 1);
        auto const counters = node.metrics_.write();
        CHECK(counters.find("cuminfold_call_checks_total") !=
              std::string::npos);
        CHECK(counters.find("cuminfold_calls_lost_total") == std::string::npos);
    }
}

// Guards against a caller of the HTTP client that pays a timeout for each
// silent connection.
TEST_CASE("one timeout closes the other connections that may be silent")
{
    boost::asio::io_context context{1};
    http_handler handler;
    handler.request_ =
        [](std::uint64_t, http_request const&, http_responder const& respond)
    { respond(make_response(200, "text/plain", "x")); };
    handler.gone_ = [](std::uint64_t) {};
    http_server server(context, {}, handler);
    fault_link link(context);
    link.set_target(server.listen("127.0.0.1:0"));
    http_client client(context, {});
    std::size_t closed = 0;
    client.set_close_observer([&](std::string const&, std::size_t count)
                              { closed += count; });
    std::vector<http_end> ends;
    auto const call = [&](std::size_t count, duration timeout)
    {
        ends.clear();
        for (std::size_t i = 0; i < count; ++i)
        {
            http_call each;
            each.address_ = link.address();
            each.target_ = "/";
            each.timeout_ = timeout;
            client.start(std::move(each), [&](http_result const& result)
                         { ends.push_back(result.end_); });
        }
        while (ends.size() < count)
        {
            context.run_one();
        }
        return ends;
    };
    REQUIRE(call(connections, 20s) ==
            std::vector<http_end>(connections, http_end::whole));
    CHECK(link.silence_open(link_fault::silence) == connections);
    CHECK(call(1, 100ms) == std::vector<http_end>{http_end::timeout});
    CHECK(closed == connections - 1);
    CHECK(call(1, 5s) == std::vector<http_end>{http_end::whole});
}
