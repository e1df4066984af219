#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 12;
constexpr std::uint32_t task_count = 6;

job_step serving_step(std::uint32_t max_unavailable)
{
    auto step = cell_world::make_step(task_count, 2000, 1000ms);
    step.long_running_ = true;
    step.per_worker_ = 1;
    step.max_unavailable_ = max_unavailable;
    return step;
}

/// Events that make an owner move long-running tasks, all at once or one after
/// the other.
struct load_pattern
{
    char const* name_;
    cell_world::faults faults_;
    /// Percentages of the events.
    std::uint32_t drains_ = 0;
    std::uint32_t evacuations_ = 0;
    std::uint32_t crashes_ = 0;
    std::uint32_t takeovers_ = 0;
    std::uint32_t store_outages_ = 0;
    std::uint32_t ended_runs_ = 0;
    std::uint32_t expired_entries_ = 0;
    /// Another incarnation answers at the address of a worker that crashed.
    bool reuses_addresses_ = false;
};

load_pattern const load_patterns[] = {
    {"workers drain at short notice", {}, 60},
    {"a wave empties VMs", {}, 0, 80},
    {"workers drain while a wave empties VMs", {}, 30, 40},
    {"orders are carried out late during a wave", {0, 0, 15}, 10, 60},
    {"answers are lost during a wave", {15, 10, 0}, 10, 60},
    {"most orders are carried out late or never", {0, 15, 60}, 5, 40},
    {"owners are replaced during a wave", {0, 0, 5}, 10, 50, 5, 15},
    {"the store is away during a wave", {}, 10, 50, 0, 5, 20},
    {"workers restart between two renewals", {}, 5, 50, 30},
    {"addresses are used again", {5, 0, 5}, 5, 50, 30, 5, 0, 0, 0, true},
    {"runs end by themselves during a wave", {}, 5, 50, 0, 5, 0, 30},
    {"entries expire and come back", {5, 0, 5}, 5, 50, 5, 5, 0, 0, 25},
    {"everything at once", {5, 5, 10, 20}, 10, 25, 10, 10, 5, 10, 10, true},
};

void execute(cell_world& world, load_pattern const& pattern,
             std::mt19937& random)
{
    auto const worker = static_cast<std::uint32_t>(random() % worker_count);
    auto event = static_cast<std::uint32_t>(random() % 100);
    auto const is = [&](std::uint32_t share)
    {
        bool const chosen = event < share;
        event -= chosen ? 0 : share;
        return chosen;
    };
    if (is(pattern.drains_))
    {
        world.drain(worker);
    }
    else if (is(pattern.evacuations_))
    {
        world.owner().evacuate(world.worker(worker).entry_.vm_, world.now());
    }
    else if (is(pattern.crashes_))
    {
        world.crash(worker);
    }
    else if (is(pattern.takeovers_))
    {
        world.take_over();
    }
    else if (is(pattern.store_outages_))
    {
        world.store_down_ = !world.store_down_;
    }
    else if (is(pattern.ended_runs_))
    {
        world.end_runs(worker);
    }
    else if (is(pattern.expired_entries_))
    {
        world.expire_entry(worker);
    }
}

} // namespace

TEST_CASE("no event ends more long-running tasks at once than a step allows")
{
    for (auto const& pattern : load_patterns)
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
            world.faults_ = pattern.faults_;
            world.reuses_addresses_ = pattern.reuses_addresses_;
            for (int i = 0; i < 60; ++i)
            {
                execute(world, pattern, random);
                world.run_for(std::chrono::milliseconds{random() % 300});
            }
            CHECK(world.violations() == "");
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
