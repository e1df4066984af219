#include "kernel/cell/lost_runs.hpp"

#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <stdexcept>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr int rounds = 12;
constexpr std::uint32_t worker_count = 9;
task_id const task{job_id{"a"}, 0, 0, 0};

/// When a worker is cut off from the owner, and what becomes of the owner.
struct cut_case
{
    char const* name_;
    /// From the start of a run to the cut of its worker.
    std::chrono::milliseconds run_time_;
    std::chrono::milliseconds cut_time_;
    bool takes_over_;
    cell_world::restart_ids ids_;
};

constexpr auto changed = cell_world::restart_ids::changed;
constexpr auto kept = cell_world::restart_ids::kept;

constexpr cut_case cut_cases[] = {
    {"cuts with new owners", 800ms, 5500ms, true, changed},
    {"cuts with new owners, ids are kept", 800ms, 5500ms, true, kept},
    {"cuts without new owners", 800ms, 5500ms, false, changed},
    {"cuts soon after a start, with new owners", 0ms, 5500ms, true, changed},
    {"cuts soon after a start, ids are kept", 0ms, 5500ms, true, kept},
    {"cuts until the next start, with new owners", 0ms, 0ms, true, changed},
    {"cuts until the next start, ids are kept", 0ms, 0ms, true, kept},
    {"long cuts", 800ms, 27'000ms, false, changed},
    {"long cuts with new owners", 800ms, 27'000ms, true, changed},
};

/// Runs until a worker runs the task.
/// @return that worker; `worker_count` if there is none in time
std::uint32_t await_run(cell_world& world, std::uint32_t except)
{
    for (int i = 0; i < 2000; ++i)
    {
        auto const worker = world.worker_running(task);
        if (worker && *worker != except)
        {
            return *worker;
        }
        world.run_for(20ms);
    }
    return worker_count;
}

/// Cuts the task's worker off until another runs the task, or longer.
/// @return the other worker
std::uint32_t cut(cell_world& world, std::uint32_t worker, cut_case const& how)
{
    world.run_for(how.run_time_);
    world.cut(worker, true);
    auto const end = world.now() + how.cut_time_;
    auto const next = await_run(world, worker);
    world.run_for(60ms);
    if (how.takes_over_)
    {
        world.take_over();
    }
    if (world.now() < end)
    {
        world.run_for(end - world.now());
    }
    world.cut(worker, false);
    return next;
}

} // namespace

// Guards against a task that is given up because its workers were cut off while
// owners were replaced: a new owner took each run that might have been lost for
// one that was.
TEST_CASE("cuts of links fail no task, whoever owns the cell when they end")
{
    for (auto const& each : cut_cases)
    {
        for (std::uint32_t seed = 1; seed <= 4; ++seed)
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(seed);
            cell_world world(seed, worker_count, each.ids_);
            world.lists_vms_ = true;
            world.run_for(50ms);
            world.submit("a", {cell_world::make_step(1, 1900, 60'000ms)});
            auto worker = await_run(world, worker_count);
            int round = 0;
            while (round < rounds && worker < worker_count &&
                   world.status("a") != job_status::failed)
            {
                ++round;
                worker = cut(world, worker, each);
            }
            CAPTURE(round);
            world.run_for(70'000ms);
            CHECK(world.status("a") == job_status::completed);
            CHECK(world.violations() == "");
        }
    }
}

TEST_CASE("the lost runs of a job that has ended are deleted")
{
    cell_world world(1, worker_count);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1900, 60'000ms)});
    auto const worker = await_run(world, worker_count);
    REQUIRE(worker < worker_count);
    world.cut(worker, true);
    REQUIRE(await_run(world, worker) < worker_count);
    world.run_for(500ms);
    CHECK(world.stored_texts(record_kind::losses).size() == 1);
    world.cancel("a");
    world.run_for(5000ms);
    CHECK(world.stored_texts(record_kind::losses).empty());
}

// Guards against runs of a job that count for a later one with the same id.
TEST_CASE("the lost runs of a job are forgotten with the job")
{
    cell_world world(1, worker_count);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 1900, 60'000ms),
                       cell_world::make_step(1, 1900, 1000ms),
                       cell_world::make_step(1, 1900, 60'000ms)});
    auto const worker = await_run(world, worker_count);
    REQUIRE(worker < worker_count);
    world.cut(worker, true);
    REQUIRE(await_run(world, worker) < worker_count);
    world.cancel("a");
    world.run_for(140'000ms);
    CHECK(world.status("a") == job_status::queued);
    world.cut(worker, false);
    world.run_for(2000ms);
    CHECK(world.stored_texts(record_kind::losses).empty());
    CHECK(world.violations() == "");
}

TEST_CASE("lost runs are restored as they were stored")
{
    lost_run run;
    run.task_ = {job_id{}, 1, 0, 3};
    run.run_ = 4;
    run.is_counted_ = true;
    run.worker_ = "worker 1";
    auto other = run;
    other.is_suspected_ = true;
    other.vm_ = vm_id{"vm\n2"};
    auto const text = encode(lost_runs{run, other});
    auto const restored = decode_lost_runs(text);
    REQUIRE(restored.size() == 2);
    CHECK(encode(restored) == text);
    CHECK(restored[1].vm_ == other.vm_);
    CHECK(restored[0].vm_.empty());
    CHECK(decode_lost_runs("").empty());
}

TEST_CASE("a text that is no list of lost runs is rejected")
{
    for (auto const* const text :
         {"0 0 3 1", "0 0 3 1 1 0 \"a", "a 0 3 1 1 0 \"b\" \"\"", "0 0 3 1 7"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(decode_lost_runs(text), std::invalid_argument);
    }
}
