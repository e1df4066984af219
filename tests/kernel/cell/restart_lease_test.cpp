#include "kernel/cell/cell_world.hpp"
#include "kernel/cell/crash_counts.hpp"
#include "kernel/cell/foreign_lease.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>
#include <random>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 4;
/// The platform's bound on a lease; longer than the owner's own leases.
constexpr auto platform_lease = 10'000ms;
constexpr auto owner_lease = 3000ms;
/// Before the first restart, so that the clock of the incarnation before is
/// ahead of the next one's by more than any lease.
constexpr auto time_before = 20'000ms;
/// From a cut until the task runs elsewhere, if no lease can be longer than the
/// owner's.
constexpr auto prompt_time = 3500ms;
/// Longer than the owner's lease, so that the run outlasts it.
constexpr auto long_run = 8000ms;
/// Longer than the platform's bound.
constexpr auto longest_run = 12'000ms;
/// Until the runs behind a network partition have ended and all is settled.
constexpr auto settling_time = 40'000ms;
constexpr std::size_t pattern_groups = 4;
/// A worker's entry is stored this long after the worker wrote it, at most.
constexpr auto entry_delay = 3000ms;
/// Interval at which a worker writes its entry.
constexpr auto entry_interval = 1500ms;
/// How much longer an owner counts on a lease, since it has not read the clock
/// of an idle worker, which may be 2 % slow, for `time_before`.
constexpr auto clock_drift = 500ms;
/// Until an owner has found a lease that ended, and has stored a placement.
constexpr auto check_time = 300ms;
/// The end of leases of an earlier owner, from the takeover on: orders of 5 s,
/// and a lease.
constexpr auto takeover_lease = 8150ms;

cell_world make_world(std::uint32_t seed)
{
    return cell_world(seed, worker_count, cell_world::restart_ids::kept,
                      platform_lease);
}

/// Ends all workers' processes; new incarnations start at once.
void restart_all(cell_world& world)
{
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        world.crash_for(i, 0ms);
    }
}

/// Disconnects the workers that run tasks. At least one other remains.
void cut_busy_workers(cell_world& world)
{
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        if (!world.worker(i).running_.empty())
        {
            world.cut(i, true);
        }
    }
}

/// Of the workers that run tasks.
worker_clock longest_lease_left(cell_world& world)
{
    worker_clock longest{0};
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        if (!world.worker(i).running_.empty())
        {
            longest =
                std::max(longest, world.worker(i).lease_left(world.now()));
        }
    }
    return longest;
}

void connect_all(cell_world& world)
{
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        world.cut(i, false);
    }
}

void submit_long_job(cell_world& world,
                     std::chrono::milliseconds run_time = long_run)
{
    world.submit("a", {cell_world::make_step(1, 9000, run_time)});
}

/// How an order for the incarnation before reaches a restarted worker.
struct lease_case
{
    char const* name_;
    void (*prepare_)(cell_world&);
};

lease_case const lease_cases[] = {
    {"a start before the registration is read",
     [](cell_world& world)
     {
         world.registration_delay_ = 200ms;
         restart_all(world);
         submit_long_job(world);
         world.run_for(1000ms);
     }},
    {"a start under way at the restart",
     [](cell_world& world)
     {
         world.registration_delay_ = 200ms;
         world.start_delay_ = 100ms;
         submit_long_job(world);
         world.run_for(50ms);
         restart_all(world);
         world.start_delay_ = 0ms;
         world.run_for(1000ms);
     }},
    {"a renewal under way at the restart",
     [](cell_world& world)
     {
         world.registration_delay_ = 400ms;
         submit_long_job(world);
         world.run_for(300ms);
         world.renewal_delay_ = 150ms;
         world.run_for(200ms);
         restart_all(world);
         world.run_for(200ms);
         world.renewal_delay_ = 0ms;
         world.run_for(1000ms);
     }},
    {"a start between two restarts",
     [](cell_world& world)
     {
         world.registration_delay_ = 200ms;
         restart_all(world);
         world.start_delay_ = 60ms;
         submit_long_job(world);
         world.run_for(40ms);
         restart_all(world);
         world.start_delay_ = 0ms;
         world.run_for(1000ms);
     }},
    {"a new owner after the first answer",
     [](cell_world& world)
     {
         world.registration_delay_ = 100ms;
         restart_all(world);
         submit_long_job(world);
         world.run_for(600ms);
         world.take_over();
         world.run_for(400ms);
     }},
    {"two new owners after the first answer",
     [](cell_world& world)
     {
         world.registration_delay_ = 100ms;
         restart_all(world);
         submit_long_job(world);
         world.run_for(600ms);
         world.take_over();
         world.run_for(400ms);
         world.take_over();
         world.run_for(400ms);
     }},
    {"a new owner before the first answer",
     [](cell_world& world)
     {
         world.registration_delay_ = 300ms;
         restart_all(world);
         submit_long_job(world);
         world.run_for(100ms);
         world.take_over();
         world.run_for(400ms);
     }},
    {"a new owner without an answer",
     [](cell_world& world)
     {
         world.registration_delay_ = 100ms;
         restart_all(world);
         submit_long_job(world);
         world.run_for(600ms);
         cut_busy_workers(world);
         world.take_over();
     }},
};

/// How long a start is under way whose worker restarts and is cut off.
struct late_case
{
    char const* name_;
    std::chrono::milliseconds start_delay_;
    /// From the restart until the registration is read.
    std::chrono::milliseconds registration_delay_;
    bool has_new_owner_;
};

late_case const late_cases[] = {
    {"executed before the lease ends", 1000ms, 20ms, false},
    {"executed after the lease ends", 5000ms, 20ms, false},
    {"executed at the last moment", 11'900ms, 20ms, false},
    {"registered late", 5000ms, 900ms, false},
    {"under a new owner", 5000ms, 20ms, true},
    {"registered before the new owner", 5000ms, 5ms, true},
};

/// Starts a task, and ends its worker's process before the start arrives. The
/// next incarnation is cut off from its begin on, and stays unregistered.
void restart_unseen(cell_world& world, std::chrono::milliseconds start_delay,
                    std::chrono::milliseconds down_time)
{
    world.start_delay_ = start_delay;
    submit_long_job(world, longest_run);
    world.run_for(50ms);
    world.start_delay_ = 0ms;
    auto const& workers = world.owner().workers();
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        auto const known = workers.find(world.worker(i).entry_.id_);
        REQUIRE(known != workers.end());
        if (!known->second.tasks_.empty())
        {
            world.crash_for(i, down_time);
            world.cut(i, true);
        }
    }
}

/// A worker that is cut off before anything has shown its restart.
struct unseen_case
{
    char const* name_;
    void (*prepare_)(cell_world&);
};

unseen_case const unseen_cases[] = {
    {"a start to a worker that restarted idle",
     [](cell_world& world)
     {
         restart_all(world);
         // A renewal waits for the end of a run.
         world.renewal_delay_ = 190ms;
         submit_long_job(world, longest_run);
         world.run_for(60ms);
         cut_busy_workers(world);
         world.renewal_delay_ = 0ms;
     }},
    {"a start under way at the restart",
     [](cell_world& world) { restart_unseen(world, 70ms, 0ms); }},
    {"a start that is executed late",
     [](cell_world& world) { restart_unseen(world, 1000ms, 0ms); }},
    {"a start that is executed after the lease has lapsed",
     [](cell_world& world) { restart_unseen(world, 5000ms, 0ms); }},
    {"a worker that is down for longer than the lease",
     [](cell_world& world) { restart_unseen(world, 5000ms, 4000ms); }},
    {"a new owner",
     [](cell_world& world)
     {
         restart_unseen(world, 70ms, 0ms);
         world.take_over();
     }},
    {"a new owner after a while",
     [](cell_world& world)
     {
         restart_unseen(world, 1000ms, 0ms);
         world.run_for(1500ms);
         world.take_over();
     }},
    {"two new owners",
     [](cell_world& world)
     {
         restart_unseen(world, 70ms, 0ms);
         world.take_over();
         world.run_for(300ms);
         world.take_over();
     }},
};

/// A worker that is cut off where no order for another incarnation can be.
struct prompt_case
{
    char const* name_;
    void (*prepare_)(cell_world&);
};

prompt_case const prompt_cases[] = {
    {"no restart", [](cell_world& world) { submit_long_job(world); }},
    {"a restart of idle workers",
     [](cell_world& world)
     {
         world.registration_delay_ = 50ms;
         restart_all(world);
         world.run_for(200ms);
         submit_long_job(world);
     }},
    {"a restart long ago",
     [](cell_world& world)
     {
         world.registration_delay_ = 50ms;
         submit_long_job(world);
         world.run_for(100ms);
         restart_all(world);
         world.run_for(platform_lease);
         world.submit("b", {cell_world::make_step(1, 9000, long_run)});
         world.run_for(1000ms);
     }},
    {"a restart of idle workers and a new owner",
     [](cell_world& world)
     {
         world.registration_delay_ = 50ms;
         for (auto const* const id : {"w", "x", "y", "z"})
         {
             world.submit(id, {cell_world::make_step(1, 9000, 2500ms)});
         }
         world.run_for(30'000ms);
         restart_all(world);
         world.run_for(30'000ms);
         world.take_over();
         world.run_for(1000ms);
         submit_long_job(world);
     }},
    {"a new owner and no restart",
     [](cell_world& world)
     {
         submit_long_job(world);
         world.run_for(500ms);
         world.take_over();
     }},
};

/// A worker that is lost while a start to it has no answer, and what shows that
/// no other incarnation of it can run the task.
struct proof_case
{
    char const* name_;
    void (*lose_)(cell_world&, std::uint32_t worker);
    /// From the loss until the task has to run elsewhere.
    std::chrono::milliseconds longest_wait_;
};

proof_case const proof_cases[] = {
    {"the worker still writes its entry",
     [](cell_world& world, std::uint32_t worker) { world.cut(worker, true); },
     entry_delay + entry_interval + check_time},
    {"its VM is listed as down",
     [](cell_world& world, std::uint32_t worker)
     {
         world.lists_vms_ = true;
         world.crash_for(worker, 60'000ms);
     },
     prompt_time + clock_drift},
    {"its run was reported, and a new owner reaches neither",
     [](cell_world& world, std::uint32_t worker)
     {
         world.run_for(100ms);
         world.are_cut_from_store_ = true;
         world.cut(worker, true);
         world.take_over();
     },
     takeover_lease + check_time},
};

/// Restarts, cuts and replaces owners at random, while long tasks run.
void play(cell_world& world, std::uint32_t seed, bool has_new_owners)
{
    std::mt19937 random(seed);
    world.registration_delay_ = std::chrono::milliseconds{5 + random() % 200};
    auto steady = cell_world::make_step(3, 500, 0ms);
    steady.long_running_ = true;
    world.submit("steady", {steady});
    for (int round = 0; round < 6; ++round)
    {
        auto gang = cell_world::make_step(
            2, 1000, std::chrono::milliseconds{200 + random() % 4000});
        gang.gang_ = true;
        world.submit("gang" + std::to_string(round), {gang});
        for (int job = 0; job < 4; ++job)
        {
            world.submit(
                "job" + std::to_string(round) + "-" + std::to_string(job),
                {cell_world::make_step(
                    1 + random() % 4, 1000,
                    std::chrono::milliseconds{200 + random() % 9000})});
            world.run_for(std::chrono::milliseconds{random() % 100});
        }
        bool const are_held = random() % 2 == 0;
        world.start_delay_ =
            std::chrono::milliseconds{are_held ? random() % 250 : 0};
        world.renewal_delay_ =
            std::chrono::milliseconds{are_held ? random() % 250 : 0};
        for (std::uint32_t i = 0; i < worker_count; ++i)
        {
            if (random() % 2 == 0)
            {
                auto const longest_down_time = random() % 4 == 0 ? 5000 : 400;
                world.crash_for(
                    i, std::chrono::milliseconds{random() % longest_down_time});
            }
        }
        world.submit("late" + std::to_string(round),
                     {cell_world::make_step(1 + random() % 6, 1000, long_run)});
        world.run_for(std::chrono::milliseconds{random() % 800});
        world.start_delay_ = 0ms;
        world.renewal_delay_ = 0ms;
        if (has_new_owners && random() % 2 == 0)
        {
            world.take_over();
        }
        world.run_for(std::chrono::milliseconds{random() % 1500});
        for (std::uint32_t i = 0; i + 1 < worker_count; ++i)
        {
            world.cut(i, random() % 2 == 0);
        }
        world.run_for(std::chrono::milliseconds{200 + random() % 1000});
        if (has_new_owners && random() % 4 == 0)
        {
            world.take_over();
        }
        world.run_for(std::chrono::milliseconds{3000 + random() % 6000});
        connect_all(world);
        world.run_for(std::chrono::milliseconds{random() % 6000});
    }
    world.cancel("steady");
    world.run_for(settling_time);
}

void check_patterns(std::size_t group)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        if (seed % pattern_groups != group)
        {
            continue;
        }
        for (bool const has_new_owners : {false, true})
        {
            CAPTURE(seed);
            CAPTURE(has_new_owners);
            auto world = make_world(seed);
            play(world, seed, has_new_owners);
            CHECK(world.violations() == "");
            CHECK(world.all_ended());
        }
    }
}

} // namespace

// Guards against a second run beside one whose lease was requested by the clock
// of the incarnation before, so that it outlasts the owner's lease.
TEST_CASE("a task is not started beside a run with a lease by another clock")
{
    for (auto const& each : lease_cases)
    {
        CAPTURE(std::string(each.name_));
        auto world = make_world(1);
        world.run_for(time_before);
        each.prepare_(world);
        CHECK(longest_lease_left(world) > owner_lease);
        cut_busy_workers(world);
        world.run_for(9000ms);
        connect_all(world);
        world.run_for(settling_time);
        CHECK(world.violations() == "");
        CHECK(world.status("a") == job_status::completed);
    }
}

// Guards against a second run beside one that a restarted worker begins behind
// a network partition, by a start for the incarnation before.
TEST_CASE("a task is not started while its start may reach a later incarnation")
{
    for (auto const& each : late_cases)
    {
        CAPTURE(std::string(each.name_));
        auto world = make_world(1);
        world.run_for(time_before);
        world.registration_delay_ = each.registration_delay_;
        world.start_delay_ = each.start_delay_;
        submit_long_job(world);
        world.run_for(50ms);
        world.start_delay_ = 0ms;
        auto const& workers = world.owner().workers();
        for (std::uint32_t i = 0; i < worker_count; ++i)
        {
            auto const known = workers.find(world.worker(i).entry_.id_);
            REQUIRE(known != workers.end());
            if (!known->second.tasks_.empty())
            {
                world.crash_for(i, 0ms);
                world.run_for(20ms);
                world.cut(i, true);
            }
        }
        if (each.has_new_owner_)
        {
            world.take_over();
        }
        world.run_for(25'000ms);
        connect_all(world);
        world.run_for(settling_time);
        CHECK(world.violations() == "");
        CHECK(world.status("a") == job_status::completed);
    }
}

// Guards against a second run beside one on an incarnation that the owner does
// not know: neither an answer nor the registration has shown the restart.
TEST_CASE("a task is not started beside a run after a restart that nothing "
          "shows")
{
    for (auto const& each : unseen_cases)
    {
        CAPTURE(std::string(each.name_));
        auto world = make_world(1);
        world.registration_delay_ = 30'000ms;
        world.run_for(time_before);
        each.prepare_(world);
        world.run_for(25'000ms);
        connect_all(world);
        world.run_for(settling_time);
        CHECK(world.violations() == "");
        CHECK(world.status("a") == job_status::completed);
    }
}

// Guards against tasks that wait for the platform's bound on a lease although
// no order for another incarnation can be under way.
TEST_CASE("a task of a worker that is cut off is started elsewhere in time")
{
    for (auto const& each : prompt_cases)
    {
        CAPTURE(std::string(each.name_));
        auto world = make_world(1);
        world.run_for(time_before);
        each.prepare_(world);
        world.run_for(500ms);
        auto const runs = world.runs_of("a") + world.runs_of("b");
        cut_busy_workers(world);
        world.run_for(prompt_time);
        CHECK(world.runs_of("a") + world.runs_of("b") > runs);
        CHECK(world.violations() == "");
    }
}

// Guards against tasks that are held back although it is known that no run of
// theirs can be left.
TEST_CASE("a task whose start got no answer is held until a proof comes")
{
    for (auto const& each : proof_cases)
    {
        CAPTURE(std::string(each.name_));
        auto world = make_world(1);
        world.run_for(time_before);
        submit_long_job(world);
        world.run_for(14ms);
        auto const& known = world.owner().workers();
        std::optional<std::uint32_t> holder;
        for (std::uint32_t i = 0; i < worker_count; ++i)
        {
            auto const& tasks = known.at(world.worker(i).entry_.id_).tasks_;
            holder = tasks.empty() ? holder : i;
        }
        REQUIRE(holder);
        each.lose_(world, *holder);
        auto const runs = world.runs_of("a");
        world.run_for(each.longest_wait_);
        CHECK(world.runs_of("a") == runs + 1);
        CHECK(world.violations() == "");
    }
}

// Guards against a task that is held back although its worker has accepted its
// start, and its clock shows that the incarnation is the known one.
TEST_CASE("a run that its start's answer confirms is not held back")
{
    auto world = make_world(1);
    world.run_for(time_before);
    // No report lists the run before the cut.
    world.renewal_delay_ = 190ms;
    submit_long_job(world);
    world.run_for(60ms);
    REQUIRE(world.running_tasks("a") == 1);
    cut_busy_workers(world);
    world.are_cut_from_store_ = true;
    world.run_for(prompt_time);
    CHECK(world.runs_of("a") == 2);
    CHECK(world.violations() == "");
}

// Guards against a second run beside an orphaned one whose lease was renewed
// just before a network partition.
TEST_CASE("a task waits for its orphaned run until the latest lease has ended")
{
    for (auto cut_at = 0ms; cut_at < 600ms; cut_at += 10ms)
    {
        CAPTURE(cut_at.count());
        cell_world world(1, 2, cell_world::restart_ids::kept);
        world.registration_delay_ = 20ms;
        world.run_for(50ms);
        world.entries_stale_ = true;
        world.run_for(2000ms);
        submit_long_job(world);
        world.run_for(100ms);
        REQUIRE(world.runs_of("a") == 0);
        world.faults_.stops_lost_ = 100;
        world.crash_for(0, 0ms);
        world.run_for(10ms);
        // As a start of before that is carried out late.
        world.force_start(0, {job_id{"a"}, 0, 0, 0}, long_run);
        world.run_for(100ms);
        world.entries_stale_ = false;
        world.renewal_delay_ = 250ms;
        world.run_for(1000ms + cut_at);
        world.cut(0, true);
        world.run_for(5000ms);
        CHECK(world.violations() == "");
        CHECK(world.runs_of("a") == 2);
    }
}

// Guards against a run beside an orphaned one behind a cut, since another
// orphaned run of the task has ended.
TEST_CASE("a task waits for all of its orphaned runs")
{
    cell_world world(1, 3, cell_world::restart_ids::kept);
    task_id const task{job_id{"a"}, 0, 0, 0};
    world.registration_delay_ = 20ms;
    world.run_for(50ms);
    world.entries_stale_ = true;
    world.run_for(2000ms);
    submit_long_job(world);
    world.run_for(100ms);
    world.faults_.stops_lost_ = 100;
    world.crash_for(0, 0ms);
    world.crash_for(1, 0ms);
    world.run_for(10ms);
    // As starts of before that are carried out late, which is TWICE itself.
    world.force_start(0, task, long_run);
    world.force_start(1, task, long_run);
    auto const violations = world.violations();
    world.run_for(100ms);
    world.entries_stale_ = false;
    world.run_for(1000ms);
    world.cut(0, true);
    world.force_stop(1, task);
    world.run_for(10'000ms);
    CHECK(world.runs_of("a") == 3);
    CHECK(world.violations() == violations);
}

// Guards against a lease by the clock of before on a worker whose entry expired
// in between, so that the owner had forgotten it.
TEST_CASE("a worker that returns under its id refuses orders of before")
{
    auto world = make_world(1);
    world.registration_delay_ = 20ms;
    world.run_for(time_before);
    world.submit("b", {cell_world::make_step(1, 9000, 100ms)});
    world.run_for(50ms);
    // A renewal is executed late, and all is settled without it.
    world.renewal_delay_ = 7000ms;
    world.run_for(40ms);
    world.renewal_delay_ = 0ms;
    world.run_for(1000ms);
    REQUIRE(world.status("b") == job_status::completed);
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        world.crash_for(i, 4000ms);
        world.owner().on_worker_unlisted(world.worker(i).entry_.id_,
                                         world.now());
    }
    world.run_for(4500ms);
    submit_long_job(world);
    world.run_for(2000ms);
    REQUIRE(world.running_tasks("a") == 1);
    CHECK(longest_lease_left(world) <= owner_lease);
    cut_busy_workers(world);
    world.run_for(9000ms);
    connect_all(world);
    world.run_for(settling_time);
    CHECK(world.violations() == "");
    CHECK(world.status("a") == job_status::completed);
}

// Guards against crashes that a new owner counts, since a program without such
// leases has left the record of an earlier incarnation.
TEST_CASE("a stored lease of an earlier incarnation is ignored and deleted")
{
    auto world = make_world(1);
    world.run_for(time_before);
    submit_long_job(world);
    world.run_for(500ms);
    auto const incarnations = world.stored_texts(record_kind::incarnation);
    REQUIRE(incarnations.size() == 1);
    auto const& worker = incarnations.begin()->first;
    world.store_text(record_kind::foreign_lease, worker,
                     encode(foreign_lease{calendar_time{}, 999'999'999ms}));
    world.take_over();
    world.run_for(2000ms);
    CHECK(world.logged_["worker_restarted"].empty());
    CHECK(world.stored_texts(record_kind::foreign_lease).empty());
    CHECK(world.violations() == "");
}

TEST_CASE("a stored lease is deleted once it has ended")
{
    auto world = make_world(1);
    world.registration_delay_ = 100ms;
    world.run_for(time_before);
    restart_all(world);
    submit_long_job(world);
    world.run_for(1000ms);
    CHECK(world.stored_texts(record_kind::foreign_lease).size() == 1);
    world.submit("b", {cell_world::make_step(1, 9000, 2 * long_run)});
    world.run_for(2 * platform_lease);
    CHECK(world.stored_texts(record_kind::foreign_lease).empty());
    CHECK(world.violations() == "");
}

// Guards against a job that is given up early, since a run that the next
// incarnation may have begun is counted as lost while its task stays.
TEST_CASE("a run that may live is not counted as lost before its task leaves")
{
    for (bool const has_new_owner : {false, true})
    {
        CAPTURE(has_new_owner);
        cell_world world(1, 1, cell_world::restart_ids::kept, platform_lease);
        world.run_for(time_before);
        world.registration_delay_ = 200ms;
        world.submit("a", {cell_world::make_step(1, 1000, 60'000ms)});
        world.run_for(1500ms);
        world.start_delay_ = 100ms;
        world.submit("b", {cell_world::make_step(1, 1000, 60'000ms)});
        world.run_for(50ms);
        world.crash_for(0, 0ms);
        world.cut(0, true);
        world.start_delay_ = 0ms;
        world.run_for(4500ms);
        auto const counts = world.stored_texts(record_kind::starts);
        CHECK(counts.count("a") == 1);
        CHECK(counts.count("b") == 0);
        if (has_new_owner)
        {
            world.take_over();
            world.run_for(30'000ms);
            CHECK(world.stored_texts(record_kind::starts).at("b") ==
                  world.stored_texts(record_kind::starts).at("a"));
            continue;
        }
        world.cut(0, false);
        world.run_for(1500ms);
        CHECK(world.running_tasks("b") == 1);
        CHECK(world.stored_texts(record_kind::starts).count("b") == 0);
        CHECK(world.violations() == "");
    }
}

// Guards against a second run under a new owner, beside one on a worker whose
// clock had not been read for long: its start asked for a longer lease.
TEST_CASE("a lease by an old reading of a clock is no longer than others")
{
    for (auto const idle_time : {10'000ms, 100'000ms, 300'000ms})
    {
        for (bool const is_reached : {false, true})
        {
            CAPTURE(idle_time.count());
            CAPTURE(is_reached);
            auto world = make_world(1);
            world.run_for(idle_time);
            submit_long_job(world, longest_run);
            world.run_for(60ms);
            REQUIRE(world.running_tasks("a") == 1);
            CHECK(longest_lease_left(world) <= owner_lease);
            if (!is_reached)
            {
                cut_busy_workers(world);
            }
            world.take_over();
            world.run_for(150ms);
            cut_busy_workers(world);
            world.run_for(12'000ms);
            CHECK(world.violations() == "");
        }
    }
}

// Guards against a restart that stays unseen although the answer to a start
// states another clock than that of the incarnation before.
TEST_CASE("a clock that is behind shows a restart")
{
    auto world = make_world(1);
    world.registration_delay_ = 30'000ms;
    world.run_for(time_before);
    restart_all(world);
    // The answer to a renewal shows the restart as well, but later.
    world.renewal_delay_ = 190ms;
    submit_long_job(world);
    world.run_for(60ms);
    world.renewal_delay_ = 0ms;
    CHECK(world.logged_["worker_clock_behind"].size() == 1);
    CHECK(world.logged_["worker_unconfirmed"].size() == 1);
    world.run_for(20'000ms);
    CHECK(world.violations() == "");
    CHECK(world.status("a") == job_status::completed);
}

// Guards against a second run beside one whose lease lasts longer than the
// owner counts on, since the worker's clock has stood still.
TEST_CASE("a lease on a VM that was suspended is counted by its clock")
{
    constexpr auto suspended = 5000ms;
    auto world = make_world(1);
    world.run_for(time_before);
    submit_long_job(world, longest_run);
    world.run_for(500ms);
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        world.worker(i).suspend(suspended);
    }
    world.run_for(100ms);
    CHECK(longest_lease_left(world) > owner_lease);
    cut_busy_workers(world);
    world.run_for(12'000ms);
    CHECK(world.runs_of("a") == 2);
    CHECK(world.violations() == "");
}

/// News that seems to rule out that an unseen incarnation has a run.
struct news_case
{
    char const* name_;
    void (*tell_)(cell_world&, std::string const& worker);
};

news_case const news_cases[] = {
    {"an entry that was under way for long",
     [](cell_world& world, std::string const& worker)
     {
         world.run_for(2000ms);
         world.owner().on_entry_repeated(
             worker, world.owner().workers().at(worker).incarnation_start_,
             world.now());
     }},
    {"a list of VMs that was requested before the start arrived",
     [](cell_world& world, std::string const& worker)
     {
         listed_vm vm;
         vm.vm_ = world.owner().workers().at(worker).entry_.vm_;
         world.owner().on_vms_listed({{vm.vm_, vm}}, world.now());
     }},
    {"an empty list of VMs",
     [](cell_world& world, std::string const&)
     {
         world.run_for(1000ms);
         world.owner().on_vms_listed({}, world.now());
     }},
    {"a list of VMs that does not name the worker of one",
     [](cell_world& world, std::string const& worker)
     {
         world.run_for(1000ms);
         listed_vm vm;
         vm.vm_ = world.owner().workers().at(worker).entry_.vm_;
         vm.status_ = vm_status::up;
         world.owner().on_vms_listed({{vm.vm_, vm}}, world.now());
     }},
    {"a list of VMs without that of the worker",
     [](cell_world& world, std::string const&)
     {
         world.run_for(1000ms);
         listed_vm vm;
         vm.vm_ = vm_id{"another"};
         vm.status_ = vm_status::up;
         vm.worker_ = "another";
         world.owner().on_vms_listed({{vm.vm_, vm}}, world.now());
     }},
    {"an entry of another incarnation",
     [](cell_world& world, std::string const& worker)
     {
         world.run_for(5000ms);
         world.owner().on_entry_repeated(worker, calendar_time{2h},
                                         world.now());
     }},
};

// Guards against a task that is released by news that proves nothing.
TEST_CASE("a task stays while no news rules out an unseen run")
{
    for (auto const& each : news_cases)
    {
        CAPTURE(std::string(each.name_));
        auto world = make_world(1);
        world.registration_delay_ = 30'000ms;
        world.run_for(time_before);
        world.are_cut_from_store_ = true;
        restart_unseen(world, 70ms, 0ms);
        std::string worker;
        for (std::uint32_t i = 0; i < worker_count; ++i)
        {
            worker = world.worker(i).disconnected_ ? world.worker(i).entry_.id_
                                                   : worker;
        }
        world.run_for(30ms);
        each.tell_(world, worker);
        world.run_for(9000ms);
        CHECK(world.runs_of("a") == 1);
        CHECK(world.violations() == "");
    }
}

// Guards against tasks that are placed again beside their runs, since another
// process answers a call to the address of an earlier incarnation.
TEST_CASE("an order for an earlier incarnation does not end the present one")
{
    auto world = make_world(1);
    world.registration_delay_ = 20ms;
    world.run_for(time_before);
    submit_long_job(world);
    world.run_for(500ms);
    restart_all(world);
    world.run_for(500ms);
    REQUIRE(world.running_tasks("a") == 1);
    for (auto const& item : world.owner().workers())
    {
        start_run start;
        start.worker_ = item.first;
        start.task_ = {job_id{"a"}, 0, 0, 0};
        start.run_ = 1;
        stop_run stop;
        stop.worker_ = item.first;
        stop.task_ = start.task_;
        stop.run_ = 1;
        order_answer const answer{call_outcome::incarnation_mismatch,
                                  std::nullopt};
        auto const now = world.now();
        world.owner().on_start_response(start, answer, now, now);
        world.owner().on_stop_response(stop, answer, now, now);
    }
    world.run_for(1000ms);
    CHECK(world.logged_["worker_life_ended"].empty());
    CHECK(world.violations() == "");
}

// Guards against a job that is given up early, since a crash counts again when
// its task leaves the lost worker after others.
TEST_CASE("a crash counts once for a task that stays while others leave")
{
    cell_world world(1, 1, cell_world::restart_ids::kept, platform_lease);
    world.run_for(time_before);
    world.submit("a", {cell_world::make_step(1, 1000, long_run)});
    world.run_for(500ms);
    world.submit("b", {cell_world::make_step(1, 1000, 1000ms)});
    world.run_for(50ms);
    REQUIRE(world.running_tasks("b") == 1);
    world.cut(0, true);
    world.are_cut_from_store_ = true;
    world.has_entries_ = false;
    world.take_over();
    world.run_for(30'000ms);
    auto const counts =
        decode_crash_counts(world.stored_texts(record_kind::crashes).at("b"));
    REQUIRE(counts.size() == 1);
    CHECK(counts.begin()->second.all_ == 1);
}

// Guards against a job that is given up one lost run early, since a start of it
// was refused just before a takeover: it is not covered so far.
TEST_CASE("a start refused before a takeover is no lost run")
{
    constexpr std::uint32_t seed = 525;
    auto world = make_world(seed);
    play(world, seed, true);
    CHECK(world.violations() == "");
}

TEST_CASE("restarts and cuts of workers, group 0")
{
    check_patterns(0);
}
TEST_CASE("restarts and cuts of workers, group 1")
{
    check_patterns(1);
}
TEST_CASE("restarts and cuts of workers, group 2")
{
    check_patterns(2);
}
TEST_CASE("restarts and cuts of workers, group 3")
{
    check_patterns(3);
}
