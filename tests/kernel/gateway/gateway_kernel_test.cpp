#include "kernel/gateway/gateway_world.hpp"
#include "kernel/streams.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

caller_request quick(duration deadline = 500ms)
{
    caller_request request;
    request.service_ = service_name{"quick"};
    request.deadline_ = deadline;
    return request;
}

/// One data centre with the given numbers of gateways and VMs, ready to serve.
struct small_fleet : gateway_world
{
    explicit small_fleet(std::size_t gateways = 1, std::size_t vms = 2,
                         gateway_settings base = {})
        : gateway_world(7, std::move(base))
    {
        for (std::size_t i = 0; i < vms; ++i)
        {
            add_vm("a", "rack");
        }
        for (std::size_t i = 0; i < gateways; ++i)
        {
            add_gateway("a");
        }
        run_for(100ms);
    }
};

/// Number of acknowledgements of the VM in the stream `fleet`.
std::size_t acknowledgements(gateway_world& world, vm_id const& vm)
{
    std::size_t count = 0;
    for (auto const& entry : world.stream(fleet_stream()))
    {
        for (auto const& item : entry.records_)
        {
            auto const* body = std::get_if<vm_acknowledged>(&item.body_);
            count += body != nullptr && body->vm_ == vm ? 1U : 0U;
        }
    }
    return count;
}

generation generation_of(gateway_world& world, vm_id const& vm)
{
    return world.kernel(0).fleet().vms().find(vm)->generation_;
}

} // namespace

TEST_CASE("a gateway serves once its registration was read back from the log")
{
    gateway_world world(1);
    world.add_vm("a", "rack");
    world.add_gateway("a");
    auto const early = world.submit(0, quick());
    CHECK(world.outcome(early).cause_ == reason::not_ready);
    CHECK(world.outcome(early).retry_after_ > 0s);
    world.run_for(100ms);
    REQUIRE(world.kernel(0).ready());
    auto const later = world.submit(0, quick());
    world.run_for(100ms);
    CHECK(world.outcome(later).kind_ == outcome_kind::answered);
}

TEST_CASE(
    "an unregistered gateway serves if the log is unreachable and no other "
    "gateway of its data centre is registered")
{
    gateway_world world(1);
    world.add_vm("a", "rack");
    world.add_gateway("a");
    world.run_for(12ms);
    world.log_down_ = true;
    world.run_for(1s);
    REQUIRE_FALSE(world.kernel(0).ready());
    CHECK(world.outcome(world.submit(0, quick())).kind_ ==
          outcome_kind::refused);
    world.run_for(5s);
    auto const request = world.submit(0, quick());
    world.run_for(100ms);
    CHECK(world.outcome(request).kind_ == outcome_kind::answered);
}

TEST_CASE("a release is acknowledged when the last request on the VM ends")
{
    small_fleet world(1, 1);
    world.run_time_ = [](std::mt19937_64&) { return 200ms; };
    vm_id const vm{"vm-0"};
    auto const request = world.submit(0, quick());
    world.run_for(5ms);
    world.write_fleet(
        drain_granted{vm, generation_of(world, vm), wave_name{"w"}});
    world.run_for(20ms);
    world.write_fleet(drain_started{vm, generation_of(world, vm)});
    world.run_for(50ms);
    CHECK(acknowledgements(world, vm) == 0);
    auto const refused = world.submit(0, quick());
    CHECK(world.outcome(refused).cause_ == reason::no_worker);
    world.run_for(300ms);
    CHECK(world.outcome(request).kind_ == outcome_kind::answered);
    CHECK(acknowledgements(world, vm) == 1);

    world.write_fleet(drain_withdrawn{vm, generation_of(world, vm)});
    world.run_for(50ms);
    auto const served = world.submit(0, quick());
    world.run_for(300ms);
    CHECK(world.outcome(served).kind_ == outcome_kind::answered);
    world.write_fleet(
        drain_granted{vm, generation_of(world, vm), wave_name{"w"}});
    world.run_for(20ms);
    world.write_fleet(drain_started{vm, generation_of(world, vm)});
    world.run_for(50ms);
    CHECK(acknowledgements(world, vm) == 2);
}

TEST_CASE("the first report that a VM is leaving stops new dispatches to it")
{
    struct row
    {
        char const* name_;
        bool by_reply_;
    };
    for (auto const& at : {row{"reply", true}, row{"controller", false}})
    {
        CAPTURE(at.name_);
        small_fleet world(1, 2);
        world.workers_[0].leaving_ = at.by_reply_;
        for (int i = 0; i < 8; ++i)
        {
            world.submit(0, quick());
        }
        if (!at.by_reply_)
        {
            world.send(
                0, controller_message{message{vm_hint{vm_id{"vm-0"}, true}}});
        }
        world.run_for(100ms);
        auto const before = world.workers_[0].started_;
        for (int i = 0; i < 8; ++i)
        {
            world.submit(0, quick());
        }
        world.run_for(100ms);
        CHECK(world.workers_[0].started_ == before);
        CHECK(world.workers_[1].started_ >= 8);
    }
}

TEST_CASE(
    "a stop finishes the requests in flight, refuses new ones and withdraws "
    "the registration")
{
    small_fleet world(2, 2);
    auto const before = world.submit(0, quick());
    world.run_for(2ms);
    world.send(0, gateway_stop{});
    auto const after = world.submit(0, quick());
    CHECK(world.outcome(after).cause_ == reason::leaving);
    CHECK(world.outcome(after).retry_after_ > 0s);
    world.run_for(200ms);
    CHECK(world.outcome(before).kind_ == outcome_kind::answered);
    CHECK(world.stopped_.count(0) == 1);
    CHECK_FALSE(world.kernel(1).fleet().gateways().is_registered(
        incarnation{node_id{"gateway-0"}, 1}));
}

TEST_CASE("a stop ends within 10 s while the log is unreachable")
{
    small_fleet world;
    world.log_down_ = true;
    world.send(0, gateway_stop{});
    world.run_for(10s);
    CHECK(world.stopped_.count(0) == 1);
}

TEST_CASE(
    "a request is forwarded once to a data centre with workers, not twice")
{
    gateway_world world(3);
    world.add_vm("a", "rack");
    world.add_gateway("a");
    world.add_gateway("b");
    world.run_for(100ms);
    auto const request = world.submit(1, quick());
    world.run_for(100ms);
    CHECK(world.outcome(request).kind_ == outcome_kind::answered);
    caller_request forwarded = quick();
    forwarded.hops_ = 1;
    auto const second = world.submit(1, forwarded);
    CHECK(world.outcome(second).cause_ == reason::hop_limit);
}

TEST_CASE("no request stays open after 10,000 cancellations at once")
{
    gateway_settings settings;
    settings.admission_ = "bounded_queue";
    settings.queue_limit_ = 20000;
    small_fleet world(1, 2, settings);
    std::vector<request_id> all;
    all.reserve(10000);
    for (int i = 0; i < 10000; ++i)
    {
        all.push_back(world.submit(0, quick()));
    }
    REQUIRE(world.kernel(0).open_requests() == 10000);
    for (auto const& request : all)
    {
        world.send(0, caller_disconnected{request});
    }
    CHECK(world.kernel(0).open_requests() == 0);
    CHECK(world.counted(reason::cancelled) == 10000);
    world.run_for(100ms);
    auto const next = world.submit(0, quick());
    world.run_for(100ms);
    CHECK(world.outcome(next).kind_ == outcome_kind::answered);
}

TEST_CASE("retries stay within the budget when every worker fails")
{
    small_fleet world(1, 8);
    for (auto& worker : world.workers_)
    {
        worker.mode_ = worker_mode::failing;
    }
    constexpr std::uint64_t requests = 2000;
    for (std::uint64_t i = 0; i < requests; ++i)
    {
        world.submit(0, quick());
        world.run_for(1ms);
    }
    std::uint64_t started = 0;
    for (auto const& worker : world.workers_)
    {
        started += worker.started_;
    }
    CHECK(started * 10 <= requests * 11);
}

TEST_CASE(
    "workers that fail every request are ejected, but none if a whole rack "
    "fails")
{
    struct row
    {
        std::size_t failing_;
        std::uint32_t max_ejected_;
        std::uint32_t min_ejected_;
    };
    for (auto const& at : {row{1, 1, 1}, row{4, 4, 4}, row{8, 0, 0}})
    {
        CAPTURE(at.failing_);
        small_fleet world(1, 8);
        for (std::size_t i = 0; i < at.failing_; ++i)
        {
            world.workers_[i].mode_ = worker_mode::failing;
        }
        for (int i = 0; i < 900; ++i)
        {
            world.submit(0, quick());
            world.run_for(1ms);
        }
        auto const ejected =
            world.kernel(0).workers().ejected(world.now_, pool_name{"p"});
        CHECK(ejected <= at.max_ejected_);
        CHECK(ejected >= at.min_ejected_);
    }
}

TEST_CASE("a request gets at most one outcome, none stays open, and a refused "
          "request never ran")
{
    check_property(
        "outcomes under faults",
        [](std::uint64_t seed)
        {
            gateway_settings settings;
            settings.queue_limit_ = 16;
            gateway_world world(seed, settings);
            for (int i = 0; i < 4; ++i)
            {
                world.add_vm("a", i < 2 ? "r1" : "r2", 4);
            }
            world.add_gateway("a");
            world.add_gateway("a");
            world.add_gateway("b");
            world.lost_worker_replies_ = 0.05;
            world.lost_replies_ = 0.2;
            world.run_for(200ms);
            std::vector<request_id> all;
            for (int i = 0; i < 150; ++i)
            {
                auto const draw = world.random_();
                auto& worker = world.workers_[draw % 4];
                worker.mode_ = static_cast<worker_mode>(
                    (draw >> 8) % 12 < 3 ? (draw >> 8) % 4 : 0);
                caller_request request = quick(duration{
                    std::chrono::milliseconds{1 + (draw >> 16) % 300}});
                request.urgent_ = (draw >> 32) % 4 == 0;
                all.push_back(world.submit((draw >> 40) % 3, request));
                if ((draw >> 48) % 10 == 0)
                {
                    world.send((draw >> 40) % 3,
                               caller_disconnected{all.back()});
                }
                world.run_for(duration{(draw >> 52) % 4000});
            }
            world.run_for(2s);
            for (auto const& request : all)
            {
                auto const& outcome = world.outcome(request);
                RC_ASSERT(outcome.times_ <= 1);
                if (outcome.kind_ == outcome_kind::refused)
                {
                    RC_ASSERT(world.runs(request.text()) == 0U);
                }
            }
            for (std::size_t i = 0; i < 3; ++i)
            {
                RC_ASSERT(world.kernel(i).open_requests() == 0U);
            }
            for (auto const& worker : world.workers_)
            {
                RC_ASSERT(worker.max_busy_ <= worker.slots_);
            }
        });
}
