#include "kernel/cell/event_pattern.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 12;

event_pattern const event_patterns[] = {
    {"workers drain at short notice", {}, {{event_kind::drain, 60}}},
    {"a wave empties VMs", {}, {{event_kind::evacuation, 80}}},
    {"workers drain while a wave empties VMs",
     {},
     {{event_kind::drain, 30}, {event_kind::evacuation, 40}}},
    {"orders are carried out late during a wave",
     {0, 0, 15},
     {{event_kind::drain, 10}, {event_kind::evacuation, 60}}},
    {"answers are lost during a wave",
     {15, 10, 0},
     {{event_kind::drain, 10}, {event_kind::evacuation, 60}}},
    {"most orders are carried out late or never",
     {0, 15, 60},
     {{event_kind::drain, 5}, {event_kind::evacuation, 40}}},
    {"owners are replaced during a wave",
     {0, 0, 5},
     {{event_kind::drain, 10},
      {event_kind::evacuation, 50},
      {event_kind::crash, 5},
      {event_kind::takeover, 15}}},
    {"the store is away during a wave",
     {},
     {{event_kind::drain, 10},
      {event_kind::evacuation, 50},
      {event_kind::takeover, 5},
      {event_kind::store_outage, 20}}},
    {"workers restart between two renewals",
     {},
     {{event_kind::drain, 5},
      {event_kind::evacuation, 50},
      {event_kind::crash, 30}}},
    {"addresses are used again",
     {5, 0, 5},
     {{event_kind::drain, 5},
      {event_kind::evacuation, 50},
      {event_kind::crash, 30},
      {event_kind::takeover, 5}},
     0ms,
     true},
    {"runs end by themselves during a wave",
     {},
     {{event_kind::drain, 5},
      {event_kind::evacuation, 50},
      {event_kind::takeover, 5},
      {event_kind::end_of_runs, 30}}},
    {"entries expire and come back",
     {5, 0, 5},
     {{event_kind::drain, 5},
      {event_kind::evacuation, 50},
      {event_kind::crash, 5},
      {event_kind::takeover, 5},
      {event_kind::expired_entry, 25}}},
    {"everything at once",
     {5, 5, 10, 20},
     {{event_kind::drain, 10},
      {event_kind::evacuation, 25},
      {event_kind::crash, 10},
      {event_kind::takeover, 10},
      {event_kind::store_outage, 5},
      {event_kind::end_of_runs, 10},
      {event_kind::expired_entry, 10},
      {event_kind::cut, 5}},
     0ms,
     true},
};

} // namespace

TEST_CASE("no event ends more long-running tasks at once than a step allows")
{
    for (auto const& pattern : event_patterns)
    {
        for (std::uint32_t seed = 1; seed <= 12; ++seed)
        {
            CAPTURE(std::string(pattern.name_));
            CAPTURE(seed);
            std::mt19937 random(seed);
            cell_world world(seed, worker_count);
            world.run_for(50ms);
            world.submit("a", {serving_step(1 + seed % 2)});
            world.submit("b", {serving_step(2)});
            world.run_for(500ms);
            begin_faults(world, pattern);
            for (int i = 0; i < 60; ++i)
            {
                execute_event(world, pattern, random);
                world.run_for(std::chrono::milliseconds{random() % 300});
            }
            end_faults(world);
            world.run_for(cell_world::max_call_delay + recovery_time);
            CHECK(world.violations() == "");
            CHECK(world.running_tasks("a") == serving_tasks);
            CHECK(world.running_tasks("b") == serving_tasks);
        }
    }
}

TEST_CASE("a late start that runs although its stop was sent keeps running")
{
    std::size_t started = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        cell_world world(seed, 1);
        world.run_for(50ms);
        world.faults_ = {0, 0, 100, 100};
        auto step = serving_step(1);
        step.tasks_ = 1;
        world.submit("a", {step});
        // The start is executed seconds later, if its lease still lasts. Stops
        // are not delivered until then.
        world.run_for(320ms);
        REQUIRE(world.runs_of("a") == 0);
        world.faults_ = {0, 0, 0, 100};
        for (int i = 0; i < 700 && world.runs_of("a") == 0; ++i)
        {
            world.run_for(10ms);
        }
        bool const was_started = world.runs_of("a") == 1;
        started += was_started ? 1 : 0;
        world.run_for(300ms);
        world.faults_ = {};
        world.run_for(1000ms);
        CHECK(world.runs_of("a") == 1);
    }
    CHECK(started > 0);
}

TEST_CASE("the oracle reports a stop beyond the limit of a step")
{
    cell_world world(1, worker_count);
    world.run_for(50ms);
    world.submit("a", {serving_step(1)});
    world.run_for(500ms);
    std::uint32_t stopped = 0;
    for (std::uint32_t i = 0; i < worker_count && stopped < 2; ++i)
    {
        if (!world.worker(i).running_.empty())
        {
            // A copy, since the stop erases the run.
            task_id const task = world.worker(i).running_.begin()->first;
            world.force_stop(i, task);
            ++stopped;
        }
    }
    CHECK(world.has_violation("AVAIL"));
}

// Guards against an evacuation whose stop got no answer and was repeated after
// other tasks of the step had become unavailable.
TEST_CASE("a stop is not repeated once its step has too few available tasks")
{
    cell_world world(1, 3);
    world.run_for(50ms);
    auto step = serving_step(1);
    step.tasks_ = 3;
    world.submit("a", {step});
    world.run_for(500ms);
    REQUIRE(world.running_tasks("a") == 3);
    world.faults_.stops_lost_ = 100;
    world.owner().evacuate(world.worker(0).entry_.vm_, world.now());
    world.run_for(300ms);
    // The task of another worker has no place to go to.
    world.cut(1, true);
    world.run_for(8000ms);
    world.faults_.stops_lost_ = 0;
    world.run_for(1000ms);
    CHECK(world.running_tasks("a") == 2);
    CHECK(world.violations() == "");
}

// Guards against an account that took a task for available although a stop of
// its run was still on its way.
TEST_CASE("a task that an unanswered stop may still end is not available")
{
    std::size_t tested = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
    {
        CAPTURE(seed);
        cell_world world(seed, 2);
        world.run_for(50ms);
        world.faults_ = {0, 0, 100, 100};
        auto step = serving_step(1);
        step.tasks_ = 2;
        world.submit("a", {step});
        world.run_for(320ms);
        world.faults_ = {0, 0, 0, 100};
        world.run_for(3500ms);
        bool const is_one_stopped =
            world.running_tasks("a") == 2 && world.stops_sent_.size() == 1;
        if (!is_one_stopped)
        {
            continue;
        }
        ++tested;
        auto const stopped = *world.stops_sent_.begin();
        std::uint32_t const other =
            world.worker(0).running_.count(stopped) != 0 ? 1 : 0;
        auto const vm = world.worker(other).entry_.vm_;
        world.faults_ = {};
        world.owner().evacuate(vm, world.now());
        world.run_for(300ms);
        CHECK(world.runs_of("a") == 2);
        // The stop can't be on its way any more.
        world.run_for(12'000ms);
        world.owner().evacuate(vm, world.now());
        world.run_for(1000ms);
        CHECK(world.runs_of("a") == 3);
        CHECK(world.running_tasks("a") == 2);
    }
    CHECK(tested > 0);
}
