#include "kernel/gateway/gateway_world.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

caller_request once(std::string key, duration deadline = 500ms,
                    std::uint64_t digest = 1)
{
    caller_request request;
    request.service_ = service_name{"once"};
    request.key_ = std::move(key);
    request.body_digest_ = digest;
    request.deadline_ = deadline;
    return request;
}

/// Two data centres with one gateway and two workers each.
struct two_data_centres : gateway_world
{
    explicit two_data_centres(std::uint64_t seed = 5) : gateway_world(seed)
    {
        for (auto const* data_centre : {"a", "b"})
        {
            add_vm(data_centre, "rack");
            add_vm(data_centre, "rack");
            add_gateway(data_centre);
        }
        run_for(200ms);
    }
};

} // namespace

TEST_CASE("a request that is not idempotent needs a key")
{
    two_data_centres world;
    auto const request = world.submit(0, once(""));
    CHECK(world.outcome(request).cause_ == reason::key_required);
}

TEST_CASE("a key runs once, and its repeats get the stored answer")
{
    two_data_centres world;
    auto const first = world.submit(0, once("k"));
    world.run_for(100ms);
    CHECK(world.outcome(first).kind_ == outcome_kind::answered);
    for (std::size_t gateway : {0, 1})
    {
        auto const repeat = world.submit(gateway, once("k"));
        CHECK(world.outcome(repeat).kind_ == outcome_kind::kept);
    }
    auto const other = world.submit(1, once("k", 500ms, 2));
    CHECK(world.outcome(other).cause_ == reason::claim_mismatch);
    CHECK(world.runs("k") == 1);
}

TEST_CASE("if two gateways claim a key at the same time, only one runs it")
{
    two_data_centres world;
    auto const one = world.submit(0, once("k"));
    auto const two = world.submit(1, once("k"));
    world.run_for(200ms);
    CHECK(world.runs("k") == 1);
    bool const first_won = world.outcome(one).kind_ == outcome_kind::answered;
    auto const& lost = world.outcome(first_won ? two : one);
    CHECK(lost.cause_ == reason::claim_running);
    CHECK(lost.retry_after_ > 0s);
}

TEST_CASE(
    "while the log is unreachable, a request with a key is refused by its "
    "deadline and never runs later")
{
    two_data_centres world;
    world.log_delay_ = 2s;
    auto const slow = world.submit(0, once("slow", 300ms));
    world.run_for(350ms);
    CHECK(world.outcome(slow).kind_ == outcome_kind::refused);
    CHECK(world.outcome(slow).cause_ == reason::claim_log_unavailable);
    world.log_delay_ = 5ms;
    world.run_for(10s);
    CHECK(world.runs("slow") == 0);
    auto const again = world.submit(1, once("slow"));
    world.run_for(200ms);
    CHECK(world.outcome(again).kind_ == outcome_kind::answered);

    world.log_down_ = true;
    world.run_for(5s);
    auto const down = world.submit(0, once("down"));
    CHECK(world.outcome(down).cause_ == reason::claim_log_unavailable);
    CHECK(world.outcome(down).retry_after_ > 0s);
}

TEST_CASE("if the claimant is no longer registered, the outcome of its key is "
          "unknown and the key never runs again")
{
    two_data_centres world;
    world.run_time_ = [](std::mt19937_64&) { return 100ms; };
    world.submit(0, once("k"));
    world.run_for(50ms);
    REQUIRE(world.runs("k") == 1);
    world.kill_gateway(0);
    world.run_for(200ms);
    auto const running = world.submit(1, once("k"));
    CHECK(world.outcome(running).cause_ == reason::claim_running);
    world.write_fleet(
        gateway_left{incarnation{node_id{"gateway-0"}, 1}, false});
    world.run_for(100ms);
    auto const repeat = world.submit(1, once("k"));
    CHECK(world.outcome(repeat).kind_ == outcome_kind::unknown);
    CHECK(world.outcome(repeat).cause_ == reason::claim_outcome_unknown);
    world.run_for(1s);
    CHECK(world.runs("k") == 1);
}

TEST_CASE(
    "a disconnect before the dispatch frees the key; after a later one, a "
    "repeat gets the stored answer")
{
    two_data_centres world;
    auto const early = world.submit(0, once("early"));
    world.send(0, caller_disconnected{early});
    world.run_for(200ms);
    CHECK(world.runs("early") == 0);
    auto const late = world.submit(0, once("late"));
    world.run_for(20ms);
    REQUIRE(world.runs("late") == 1);
    world.send(0, caller_disconnected{late});
    world.run_for(200ms);
    auto const repeat = world.submit(1, once("late"));
    CHECK(world.outcome(repeat).kind_ == outcome_kind::kept);
    auto const again = world.submit(1, once("early"));
    world.run_for(200ms);
    CHECK(world.outcome(again).kind_ == outcome_kind::answered);
}

TEST_CASE(
    "a key runs at most once, and a refused request never ran, under faults")
{
    check_property(
        "claims under faults",
        [](std::uint64_t seed)
        {
            two_data_centres world(seed);
            world.add_gateway("a");
            world.lost_replies_ = 0.3;
            world.lost_worker_replies_ = 0.1;
            world.run_for(200ms);
            std::map<std::string, std::vector<request_id>> by_key;
            for (int i = 0; i < 120; ++i)
            {
                auto const draw = world.random_();
                std::string const key = "k" + std::to_string(draw % 40);
                auto const gateway = (draw >> 8) % 3;
                auto const deadline =
                    std::chrono::milliseconds{5 + (draw >> 16) % 400};
                by_key[key].push_back(
                    world.submit(gateway, once(key, deadline)));
                if ((draw >> 28) % 8 == 0)
                {
                    world.send(gateway,
                               caller_disconnected{by_key[key].back()});
                }
                world.log_down_ = (draw >> 32) % 8 == 0;
                world.log_delay_ =
                    std::chrono::milliseconds{(draw >> 36) % 8 == 0 ? 300 : 5};
                world.workers_[(draw >> 40) % 4].mode_ =
                    static_cast<worker_mode>(
                        (draw >> 44) % 10 == 0 ? (draw >> 48) % 4 : 0);
                if (i == 60 && draw % 2 == 0)
                {
                    world.kill_gateway(0);
                }
                world.run_for(duration{(draw >> 50) % 16000});
            }
            world.log_down_ = false;
            world.run_for(5s);
            for (auto const& item : by_key)
            {
                std::uint64_t const runs = world.runs(item.first);
                RC_ASSERT(runs <= 1U);
                bool answered = false;
                for (auto const& request : item.second)
                {
                    auto const kind = world.outcome(request).kind_;
                    RC_ASSERT(world.outcome(request).times_ <= 1);
                    RC_ASSERT(kind != outcome_kind::refused ||
                              world.runs_of(request) == 0U);
                    answered = answered || kind == outcome_kind::answered ||
                               kind == outcome_kind::kept ||
                               kind == outcome_kind::failed;
                }
                RC_ASSERT(!answered || runs == 1U);
            }
        });
}
