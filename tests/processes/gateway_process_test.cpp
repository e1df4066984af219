#include "child_process.hpp"
#include "small_fleet.hpp"

#include "transport/raw_socket.hpp"

#include <doctest/doctest.h>

#include <future>
#include <map>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

constexpr int wave_size = 40;

using wave = std::map<std::string, std::future<http_result>>;

wave send_wave(small_fleet& fleet, int gateway, std::string const& service,
               std::string const& name)
{
    wave sent;
    for (int i = 0; i < wave_size; ++i)
    {
        std::string const key = name + "-" + std::to_string(i);
        sent[key] = fleet.request(gateway, service, key);
    }
    return sent;
}

} // namespace

TEST_CASE("a gateway that is asked to stop answers all that it has")
{
    small_fleet fleet(4, 2);
    fleet.set_worker_faults(R"({"slowdown":10})");
    int const before = fleet.worker_count("runs");
    wave sent = send_wave(fleet, 0, "read", "stop");
    REQUIRE(small_fleet::eventually(
        [&] { return fleet.worker_count("runs") > before; }));
    fleet.gateway(0).terminate();
    int answered = 0;
    for (auto& item : sent)
    {
        http_result const result = item.second.get();
        bool const own = is_own_answer(result, item.first);
        answered += own ? 1 : 0;
        bool const told = own || is_not_run(result);
        CHECK_MESSAGE(told, result.response_.body_);
    }
    CHECK(answered > 0);
    CHECK(fleet.gateway(0).wait() == 0);
    CHECK(fleet.worker_count("cut") == 0);
}

TEST_CASE("a killed gateway harms neither others nor single runs")
{
    small_fleet fleet(4, 2);
    fleet.set_worker_faults(R"({"slowdown":10})");
    int const before = fleet.worker_count("runs");
    wave lost = send_wave(fleet, 0, "once", "killed");
    wave others = send_wave(fleet, 1, "read", "others");
    REQUIRE(small_fleet::eventually(
        [&] { return fleet.worker_count("runs") > before; }));
    fleet.gateway(0).kill();
    for (auto& item : others)
    {
        http_result const result = item.second.get();
        bool const told =
            is_own_answer(result, item.first) || is_not_run(result);
        CHECK_MESSAGE(told, result.response_.body_);
    }
    fleet.set_worker_faults(R"({"slowdown":1})");
    for (auto& item : lost)
    {
        http_result const first = item.second.get();
        http_result const again = fleet.request(1, "once", item.first).get();
        int const runs = fleet.runs_of(item.first);
        CHECK(runs <= 1);
        CHECK_FALSE((is_not_run(first) && runs != 0 &&
                     !is_own_answer(again, item.first)));
    }
}

TEST_CASE("faulty workers never give a wrong answer")
{
    struct row
    {
        char const* fault_;
        char const* mended_;
    };
    std::vector<row> const rows = {
        {R"({"swap_ids":true})", R"({"swap_ids":false})"},
        {R"({"truncate":true})", R"({"truncate":false})"},
        {R"({"duplicate":true})", R"({"duplicate":false})"},
        {R"({"garbage":true})", R"({"garbage":false})"},
    };
    small_fleet fleet(4, 1);
    for (auto const& item : rows)
    {
        CAPTURE(std::string(item.fault_));
        fleet.set_worker_faults(item.fault_);
        wave sent = send_wave(fleet, 0, "read", item.fault_ + 2);
        for (auto& each : sent)
        {
            http_result const result = each.second.get();
            bool const wrong = result.response_.status_ == 200 &&
                               !is_own_answer(result, each.first);
            CHECK_FALSE(wrong);
            CHECK(result.end_ == http_end::whole);
        }
        fleet.set_worker_faults(item.mended_);
    }
}

TEST_CASE("with the log down idempotent requests are served, others refused")
{
    small_fleet fleet(4, 1);
    fleet.set_platform_faults(R"({"log_down":true})");
    CHECK(is_own_answer(fleet.request(0, "read", "a").get(), "a"));
    CHECK(is_not_run(fleet.request(0, "once", "b").get()));
    CHECK(fleet.runs_of("b") == 0);
    fleet.set_platform_faults(R"({"log_down":false})");
    CHECK(small_fleet::eventually(
        [&]
        { return is_own_answer(fleet.request(0, "once", "c").get(), "c"); }));
    CHECK(fleet.runs_of("c") == 1);
}

TEST_CASE("a bad frame on the links closes its own connection only")
{
    small_fleet fleet(2, 1);
    raw_socket peer(fleet.links_address());
    peer.send("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
              "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
              "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    REQUIRE(peer.read_until("\r\n\r\n").find("101") != std::string::npos);
    // A masked binary frame of three bytes that are no message.
    peer.send(std::string("\x82\x83\x00\x00\x00\x00\xff\xff\xff", 9));
    peer.read_all();
    CHECK(peer.closed());
    CHECK(is_own_answer(fleet.request(0, "read", "a").get(), "a"));
}

TEST_CASE("the load tool ends by itself once all is answered")
{
    small_fleet fleet(4, 1);
    std::string const settings = fleet.write_file(
        "load.yaml", "targets: [" + fleet.gateway_address(0) +
                         "]\nservices: [read]\nrate: 1\nlength: 1h\n");
    child_process load(CUMINFOLD_LOAD,
                       {"--config", settings, "--rate", "200", "--length",
                        "500ms", "--seed", "7"},
                       settings + ".err");
    CHECK(load.wait() == 0);
    CHECK(fleet.worker_count("runs") > 0);
}
