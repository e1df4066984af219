#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

workspace_name const tenant{"a"};

struct disturbance
{
    char const* name_;
    void (*prepare_)(cell_world&);
    /// Called each 300 ms.
    void (*disturb_)(cell_world&, std::uint32_t round);
};

constexpr disturbance disturbances[] = {
    {"none", [](cell_world&) {}, [](cell_world&, std::uint32_t) {}},
    {"takeovers", [](cell_world&) {},
     [](cell_world& world, std::uint32_t round)
     {
         if (round % 3 == 1)
         {
             world.take_over();
         }
     }},
    {"starts without an answer",
     [](cell_world& world)
     {
         world.faults_.answers_lost_ = 20;
         world.faults_.calls_lost_ = 10;
     },
     [](cell_world&, std::uint32_t) {}},
    {"late starts and takeovers",
     [](cell_world& world) { world.faults_.calls_late_ = 20; },
     [](cell_world& world, std::uint32_t round)
     {
         if (round % 5 == 2)
         {
             world.take_over();
         }
     }},
    {"crashes of workers", [](cell_world&) {},
     [](cell_world& world, std::uint32_t round)
     { world.crash(round % world.worker_count()); }},
    {"workers cut off", [](cell_world&) {},
     [](cell_world& world, std::uint32_t round)
     {
         world.cut(0, round % 20 < 10);
         world.cut(1, round % 14 < 7);
     }},
    {"a limit lowered and raised", [](cell_world&) {},
     [](cell_world& world, std::uint32_t round) {
         world.set_limit(tenant, {round % 8 < 4 ? 2000 : 5000, 0, 0});
     }},
};

} // namespace

// Guards against starts beyond a workspace's limit while starts get no answer,
// workers are lost, owners change and the limit changes. The oracle counts what
// the workers run.
TEST_CASE("a workspace stays within its limit")
{
    for (auto const& each : disturbances)
    {
        for (std::uint32_t seed = 1; seed <= 8; ++seed)
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(seed);
            cell_world world(seed, 6);
            world.set_limit(tenant, {5000, 0, 0});
            each.prepare_(world);
            world.run_for(50ms);
            world.workspace_ = tenant;
            auto gang = cell_world::make_step(3, 1000, 400ms);
            gang.gang_ = true;
            world.submit("b", {cell_world::make_step(12, 1000, 600ms)});
            world.submit("c", {cell_world::make_step(4, 500, 300ms), gang});
            world.submit("d", {gang});
            for (std::uint32_t round = 0; round < 40; ++round)
            {
                each.disturb_(world, round);
                world.run_for(300ms);
            }
            world.faults_ = {};
            world.cut(0, false);
            world.cut(1, false);
            world.run_for(40'000ms);
            CHECK(world.violations() == "");
            CHECK(world.all_ended());
        }
    }
}

// Guards against a job that can never start and waits until its client gives
// up.
TEST_CASE("a job larger than its workspace's limit is refused at once")
{
    cell_world world(1, 6);
    world.set_limit(tenant, {2000, 0, 0});
    world.run_for(50ms);
    world.workspace_ = tenant;
    auto gang = cell_world::make_step(3, 1000, 400ms);
    world.submit("wide", {gang});
    gang.gang_ = true;
    world.submit("gang", {gang});
    world.submit("task", {cell_world::make_step(1, 2001, 400ms)});
    world.run_for(5000ms);
    CHECK(world.has_answer("wide", answer_kind::accepted));
    CHECK(world.status("wide") == job_status::completed);
    CHECK(world.has_answer("gang", answer_kind::too_large));
    CHECK(world.has_answer("task", answer_kind::too_large));
}

// Guards against other workspaces that wait behind one at its limit.
TEST_CASE("a workspace at its limit does not hold up the others")
{
    cell_world world(1, 2);
    world.set_limit(tenant, {1000, 0, 0});
    world.run_for(50ms);
    world.workspace_ = tenant;
    for (char name = 'a'; name <= 'z'; ++name)
    {
        world.submit(std::string(1, name),
                     {cell_world::make_step(8, 1000, 1000ms)});
    }
    world.workspace_ = workspace_name{"b"};
    world.submit("other", {cell_world::make_step(4, 1000, 500ms)});
    world.run_for(1500ms);
    CHECK(world.status("other") == job_status::completed);
    CHECK(world.violations() == "");
}

// Guards against a refusal while there is room within the limit: a job whose
// tasks all run counted as one that the limit holds back.
TEST_CASE("a job that can start within the limit is accepted")
{
    cell_world world(1, 6);
    world.set_limit(tenant, {4000, 0, 0});
    world.set_objective(0, 1ms);
    world.run_for(50ms);
    world.workspace_ = tenant;
    world.submit("running", {cell_world::make_step(3, 1000, 2000ms)});
    world.run_for(300ms);
    REQUIRE(world.runs_of("running") == 3);
    auto wide = cell_world::make_step(40, 1000, 1000ms);
    wide.after_ = {0};
    world.submit("next", {cell_world::make_step(1, 1000, 100ms), wide, wide});
    world.run_for(200ms);
    CHECK(world.has_answer("next", answer_kind::accepted));
    CHECK(world.violations() == "");
}

// Guards against clients that read or cancel jobs of other workspaces, also
// after the job has ended and the owner has changed.
TEST_CASE("a job is open to its own workspace alone")
{
    for (bool const takes_over : {false, true})
    {
        CAPTURE(takes_over);
        cell_world world(1, 4);
        world.set_limit(tenant, {});
        world.run_for(50ms);
        world.workspace_ = tenant;
        world.submit("ended", {cell_world::make_step(1, 1000, 100ms)});
        world.submit("open", {cell_world::make_step(1, 1000, 60'000ms)});
        world.run_for(1000ms);
        if (takes_over)
        {
            world.take_over();
            world.run_for(100ms);
        }
        struct call_row
        {
            job_caller from_;
            answer_kind answer_;
        };
        workspace_name const other{"b"};
        call_row const rows[] = {
            {{&tenant, "queue"}, answer_kind::status},
            {{&other, "queue"}, answer_kind::forbidden},
            {{&other, "elsewhere"}, answer_kind::forbidden},
            {{nullptr, "elsewhere"}, answer_kind::forbidden},
        };
        for (auto const& row : rows)
        {
            for (auto const* const job : {"ended", "open"})
            {
                CHECK(world.query(job, row.from_) == row.answer_);
            }
        }
        world.workspace_ = other;
        world.submit("open", {cell_world::make_step(1, 1000, 100ms)});
        CHECK(world.has_answer("open", answer_kind::forbidden));
    }
}
