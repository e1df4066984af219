#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

std::vector<job_step> two_steps()
{
    auto first = cell_world::make_step(3, 1000, 500ms);
    auto second = cell_world::make_step(2, 1000, 500ms);
    second.after_ = {0};
    return {first, second};
}

void set_all_disconnected(cell_world& world, bool disconnected)
{
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        world.cut(i, disconnected);
    }
}

/// Faults under which a job still has to complete without a breach of a rule.
struct fault_case
{
    char const* name_;
    void (*inject_)(cell_world&);
};

fault_case const fault_cases[] = {
    {"nothing happens", [](cell_world&) {}},
    {"the owner is replaced before its first append is stored",
     [](cell_world& world)
     {
         world.take_over();
         world.submit("a", two_steps());
     }},
    {"the owner is replaced while the first step runs",
     [](cell_world& world)
     {
         world.run_for(200ms);
         world.take_over();
     }},
    {"the owner is replaced between the end of a step and its record",
     [](cell_world& world)
     {
         world.run_for(520ms);
         world.take_over();
     }},
    {"two workers crash and return with a new incarnation",
     [](cell_world& world)
     {
         world.run_for(200ms);
         world.crash(0);
         world.crash(1);
     }},
    {"all workers are disconnected until after their leases have lapsed",
     [](cell_world& world)
     {
         world.run_for(100ms);
         set_all_disconnected(world, true);
         world.run_for(6000ms);
         set_all_disconnected(world, false);
     }},
    {"a new owner cannot reach the worker that runs a task",
     [](cell_world& world)
     {
         world.run_for(100ms);
         set_all_disconnected(world, true);
         world.take_over();
         world.run_for(3000ms);
         set_all_disconnected(world, false);
     }},
    {"the store is down for five seconds",
     [](cell_world& world)
     {
         world.run_for(100ms);
         world.store_down_ = true;
         world.run_for(5000ms);
         world.store_down_ = false;
     }},
    {"half of the calls are executed without an answer",
     [](cell_world& world) { world.faults_.answers_lost_ = 50; }},
    {"half of the calls are lost",
     [](cell_world& world) { world.faults_.calls_lost_ = 50; }},
    {"a third of the starts and stops are executed seconds later",
     [](cell_world& world) { world.faults_.calls_late_ = 33; }},
};

} // namespace

TEST_CASE("each task of a two-step job completes exactly once under faults")
{
    for (auto const& each : fault_cases)
    {
        CAPTURE(std::string(each.name_));
        cell_world world(7);
        world.run_for(50ms);
        world.submit("a", two_steps());
        each.inject_(world);
        world.run_for(3000ms);
        world.faults_ = {};
        world.run_for(30'000ms);
        CHECK(world.has_answer("a", answer_kind::accepted));
        CHECK(world.status("a") == job_status::completed);
        CHECK(world.violations() == "");
    }
}

TEST_CASE("a silent worker's tasks start elsewhere once its lease has lapsed")
{
    cell_world world(3, 2);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1000, 20'000ms)});
    world.run_for(300ms);
    REQUIRE(world.runs_of("a") == 1);
    std::uint32_t const holder = world.worker(0).running_.empty() ? 1 : 0;
    world.cut(holder, true);
    world.run_for(2500ms);
    CHECK(world.runs_of("a") == 1);
    world.run_for(4000ms);
    CHECK(world.runs_of("a") == 2);
    CHECK(world.violations() == "");
}

TEST_CASE("a worker whose lease lapsed while it was disconnected is used again")
{
    cell_world world(3, 1);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1000, 500ms)});
    world.run_for(200ms);
    world.cut(0, true);
    world.run_for(6000ms);
    world.cut(0, false);
    world.run_for(3000ms);
    CHECK(world.runs_of("a") == 2);
    CHECK(world.status("a") == job_status::completed);
    CHECK(world.unacknowledged_ends() == 0);
    CHECK(world.violations() == "");
}

TEST_CASE("every run of a cancelled job is stopped, even one that starts late")
{
    cell_world world(5);
    world.run_for(50ms);
    world.faults_.calls_late_ = 60;
    world.submit("a", {cell_world::make_step(12, 1000, 60'000ms)});
    world.run_for(100ms);
    world.cancel("a");
    world.run_for(500ms);
    CHECK(world.has_answer("cancel a", answer_kind::accepted));
    world.faults_ = {};
    world.run_for(12'000ms);
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        CHECK(world.worker(i).running_.empty());
    }
    CHECK(world.status("a") == job_status::cancelled);
}

TEST_CASE("a job whose task always fails ends as failed after its attempts")
{
    cell_world world(9);
    world.failing_.insert("a");
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1000, 100ms)});
    world.run_for(20'000ms);
    CHECK(world.status("a") == job_status::failed);
    CHECK(world.runs_of("a") == 3);
    CHECK(world.violations() == "");
}

// Guards against waits and avoided workers that no line explains.
TEST_CASE("the lines of a wait name the rules and the time of an avoidance")
{
    cell_world world(9, 1);
    world.failing_.insert("a");
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1000, 100ms)});
    auto step = cell_world::make_step(2, 1000, 100ms);
    step.long_running_ = true;
    step.per_worker_ = 1;
    world.submit("b", {step});
    world.run_for(1000ms);
    CHECK(world.logged_["worker_avoided"] ==
          std::vector<std::string>{"strikes=2 ms=2000"});
    REQUIRE(!world.logged_["long_running_task_waits"].empty());
    CHECK(world.logged_["long_running_task_waits"][0] ==
          "waiting=1 anti_affinity=1");
}

TEST_CASE("a job keeps its attempts when its queue is no longer configured")
{
    cell_world world(7, 2);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1000, 100ms)});
    world.run_for(20ms);
    world.failing_.insert("a");
    world.remove_queue();
    world.run_for(120ms);
    world.failing_.clear();
    world.run_for(2000ms);
    CHECK(world.status("a") == job_status::completed);
    CHECK(world.runs_of("a") == 2);
}

TEST_CASE("a store that does not answer refuses new jobs at once")
{
    cell_world world(11);
    world.run_for(50ms);
    world.store_down_ = true;
    world.submit("first", {cell_world::make_step(1, 1000, 100ms)});
    world.submit("second", {cell_world::make_step(1, 1000, 100ms)});
    world.run_for(1000ms);
    world.submit("third", {cell_world::make_step(1, 1000, 100ms)});
    CHECK(world.has_answer("third", answer_kind::unavailable));
    // The second job was not sent to the store, so it cannot run.
    CHECK(world.has_answer("second", answer_kind::unavailable));
    // The first job was sent to the store, which may have stored it, so it must
    // not be reported as unavailable.
    CHECK(!world.has_answer("first", answer_kind::unavailable));
    world.store_down_ = false;
    world.run_for(3000ms);
    CHECK(world.status("first") == job_status::completed);
    CHECK(world.runs_of("second") == 0);
    CHECK(world.runs_of("third") == 0);
}

// Guards against a demand without bounds in a pool that has no workers, since
// its work was counted by a worker that is known from records alone.
TEST_CASE("work is counted by workers that have a registration")
{
    time_point const now{1000s};
    cell owner(cell_options{}, now);
    job_definition job;
    job.id_ = job_id{"a"};
    job.route_ = "queue";
    job.pool_ = pool_name{"empty"};
    job.steps_ = {cell_world::make_step(4, 4000, 1000ms)};
    owner.restore(job, now);
    owner.restore_incarnation("~", "1", now);
    worker_registration entry;
    entry.id_ = "w";
    entry.address_ = "w";
    entry.pool_ = pool_name{"other"};
    entry.vm_ = vm_id{"vm"};
    entry.size_ = {16'000, 65'536, 0};
    owner.on_worker_listed(entry, now);
    fleet_config config;
    config.pools_[job.pool_] = {};
    config.pools_[entry.pool_] = {};
    owner.set_config(config);
    owner.finish_restore(now);
    for (auto const& load : owner.loads(now))
    {
        CAPTURE(load.pool_.text());
        CHECK(load.backlog_ + load.late_backlog_ < 2);
    }
}

TEST_CASE("an owner with stale entries of workers starts nothing")
{
    cell_world world(1);
    world.run_for(50ms);
    world.entries_stale_ = true;
    world.run_for(2000ms);
    world.submit("a", {cell_world::make_step(2, 1000, 100ms)});
    world.run_for(1000ms);
    CHECK(world.runs_of("a") == 0);
    world.entries_stale_ = false;
    world.run_for(1000ms);
    CHECK(world.status("a") == job_status::completed);
}

TEST_CASE("an owner refuses jobs while its events are delayed beyond the limit")
{
    cell_world world(1);
    world.run_for(50ms);
    world.owner().set_event_delay(400ms);
    world.submit("a", {cell_world::make_step(1, 1000, 100ms)});
    world.run_for(100ms);
    CHECK(world.has_answer("a", answer_kind::unavailable));
    world.owner().set_event_delay(20ms);
    world.submit("b", {cell_world::make_step(1, 1000, 100ms)});
    world.run_for(1000ms);
    CHECK(world.has_answer("b", answer_kind::accepted));
    CHECK(world.runs_of("a") == 0);
}

TEST_CASE("a draining worker gets no new task and its long-running tasks move")
{
    cell_world world(13, 3);
    world.run_for(50ms);
    auto step = cell_world::make_step(1, 1000, 1000ms);
    step.long_running_ = true;
    step.max_unavailable_ = 1;
    world.submit("a", {step});
    world.run_for(500ms);
    std::uint32_t holder = 0;
    while (world.worker(holder).running_.empty())
    {
        ++holder;
    }
    world.drain(holder);
    world.run_for(1500ms);
    CHECK(world.worker(holder).running_.empty());
    CHECK(world.runs_of("a") == 2);
    CHECK(world.violations() == "");
}

TEST_CASE("a new owner does not count a run that is being stopped as available")
{
    cell_world world(13, 3);
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        world.worker(i).stop_time_ = 400ms;
    }
    world.run_for(50ms);
    auto step = cell_world::make_step(2, 1000, 1000ms);
    step.long_running_ = true;
    step.max_unavailable_ = 1;
    step.per_worker_ = 1;
    world.submit("a", {step});
    world.run_for(1500ms);
    std::vector<std::uint32_t> holders;
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        if (!world.worker(i).running_.empty())
        {
            holders.push_back(i);
        }
    }
    REQUIRE(holders.size() == 2);
    auto const evacuate = [&](std::uint32_t holder)
    {
        world.owner().evacuate(world.worker(holder).entry_.vm_, world.now());
        world.run_for(60ms);
    };
    evacuate(holders[0]);
    world.take_over();
    world.run_for(100ms);
    // The first run ends only now. The second must run on until the first has
    // been replaced.
    evacuate(holders[1]);
    world.run_for(250ms);
    auto const& kept = world.worker(holders[1]).running_;
    REQUIRE(kept.size() == 1);
    CHECK(kept.begin()->second.stops_ == time_point::max());
}

namespace
{

/// A queue whose policy service allows every other worker.
struct policy_case
{
    char const* name_;
    std::chrono::milliseconds validity_;
    /// Limit on the workers in all queries. Each of the two steps queries four
    /// workers; a failed query is repeated every 200 ms, and a new owner starts
    /// without tickets.
    std::size_t max_queried_workers_;
    void (*inject_)(cell_world&);
};

policy_case const policy_cases[] = {
    {"nothing happens", 3000ms, 8, [](cell_world&) {}},
    {"tickets expire sooner than a step ends", 400ms, 8, [](cell_world&) {}},
    {"the service does not answer for two seconds", 3000ms, 8 + 4 * 10,
     [](cell_world& world)
     {
         world.advice_down_ = true;
         world.run_for(2000ms);
         world.advice_down_ = false;
     }},
    {"the owner is replaced during a query", 3000ms, 8 + 4,
     [](cell_world& world)
     {
         world.run_for(40ms);
         world.take_over();
     }},
};

} // namespace

TEST_CASE("jobs of a queue with a policy run only on allowed workers")
{
    for (auto const& each : policy_cases)
    {
        CAPTURE(each.name_);
        cell_world world(19, 4);
        world.set_policy(each.validity_);
        world.run_for(50ms);
        world.submit("a", two_steps());
        each.inject_(world);
        world.run_for(6000ms);
        CHECK(world.status("a") == job_status::completed);
        CHECK(world.runs_of("a") == 5);
        CHECK(world.worker(1).ended_runs_.empty());
        CHECK(world.worker(3).ended_runs_.empty());
        CHECK(world.violations() == "");
        CHECK(world.advice_queries_ <= each.max_queried_workers_);
    }
}

TEST_CASE("an entry of an earlier incarnation does not end the current one")
{
    cell_world world(17, 1);
    world.run_for(50ms);
    world.crash(0);
    world.run_for(600ms);
    world.submit("a", {cell_world::make_step(1, 1000, 3000ms)});
    world.run_for(200ms);
    // The store still holds the entry of the previous incarnation.
    auto old = world.worker(0).entry_;
    old.id_ = "w0-0";
    old.address_ = "w0-0";
    world.owner().on_worker_listed(old, world.now());
    world.list_vms();
    world.run_for(5000ms);
    CHECK(world.runs_of("a") == 1);
    CHECK(world.status("a") == job_status::completed);
}
