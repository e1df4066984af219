#include "kernel/cell/job_memory.hpp"

#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

job_step wide_step()
{
    return cell_world::make_step(100, 1, 60'000ms);
}

/// The limit in these tests: room for three steps of 100 tasks.
std::uint64_t limit()
{
    job_definition job;
    job.steps_ = {wide_step(), wide_step(), wide_step()};
    return memory_bound(job) + 2000;
}

struct refused_job
{
    char const* name_;
    std::size_t steps_;
    std::uint32_t occurrences_;
};

constexpr refused_job refused_jobs[] = {
    {"too many steps", 4, 0},
    {"too many occurrences", 1, 4},
    {"both", 2, 2},
};

/// Begins with an owner that has that limit.
void limit_memory(cell_world& world)
{
    world.max_job_memory_ = limit();
    world.take_over();
    world.run_for(500ms);
}

} // namespace

// Guards against owners that exceed their memory by one accepted job, one after
// the other.
TEST_CASE("a job that exceeds the memory for jobs is refused for good")
{
    for (auto const& each : refused_jobs)
    {
        CAPTURE(std::string(each.name_));
        cell_world world(1, 4);
        limit_memory(world);
        world.submit("a", std::vector<job_step>(each.steps_, wide_step()),
                     each.occurrences_);
        world.submit("b", {cell_world::make_step(4, 100, 200ms)});
        world.run_for(5000ms);
        CHECK(world.has_answer("a", answer_kind::too_large));
        CHECK(world.runs_of("a") == 0);
        CHECK(world.status("b") == job_status::completed);
        CHECK(world.violations() == "");
    }
}

TEST_CASE(
    "jobs that exceed the memory together are refused until one has ended")
{
    cell_world world(1, 4);
    limit_memory(world);
    for (auto const* const id : {"a", "b", "c", "d"})
    {
        world.submit(id, {wide_step()}, 1);
    }
    world.run_for(300ms);
    CHECK(world.has_answer("c", answer_kind::accepted));
    CHECK(world.has_answer("d", answer_kind::overloaded));
    world.cancel("a");
    world.run_for(5000ms);
    world.submit("e", {wide_step()}, 1);
    world.run_for(300ms);
    CHECK(world.has_answer("e", answer_kind::accepted));
    CHECK(world.violations() == "");
}

// Guards against memory that ended jobs hold for as long as they can be
// queried.
TEST_CASE("jobs that have ended leave their memory to the next")
{
    cell_world world(1, 4);
    limit_memory(world);
    for (int i = 0; i < 8; ++i)
    {
        auto const id = "job" + std::to_string(i);
        world.submit(id, {wide_step(), wide_step()}, 1);
        world.run_for(1000ms);
        CHECK(world.has_answer(id, answer_kind::accepted));
        world.cancel(id);
        world.run_for(5000ms);
        CHECK(world.status(id) == job_status::cancelled);
    }
    CHECK(world.violations() == "");
}

// Guards against a cell that no owner can load any more, since an earlier
// program accepted more than fits.
TEST_CASE("an owner fails the largest stored jobs that exceed its memory")
{
    cell_world world(1, 4);
    world.submit("small", {cell_world::make_step(4, 100, 15'000ms)});
    world.submit("wide", std::vector<job_step>(4, wide_step()));
    world.submit("middle", {wide_step()}, 2);
    world.submit("large", {wide_step(), wide_step()}, 1);
    world.run_for(3000ms);
    REQUIRE(world.runs_of("wide") > 0);
    world.max_job_memory_ = limit();
    for (int i = 0; i < 3; ++i)
    {
        world.take_over();
        world.run_for(4000ms);
    }
    CHECK(world.status("wide") == job_status::failed);
    CHECK((world.status("middle") == job_status::failed) !=
          (world.status("large") == job_status::failed));
    CHECK(world.running_tasks("wide") == 0);
    world.run_for(20'000ms);
    CHECK(world.status("small") == job_status::completed);
}

TEST_CASE("the memory of a job is bounded by its tasks of all occurrences")
{
    job_definition job;
    job.steps_ = {cell_world::make_step(100'000, 1, 20ms)};
    auto const one = memory_bound(job);
    CHECK(one > 100'000 * 200);
    job.occurrences_ = 100'000;
    CHECK(memory_bound(job) > 99'000 * one);
}
