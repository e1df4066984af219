#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

struct disturbance
{
    char const* name_;
    /// Called each 100 ms.
    void (*disturb_)(cell_world&, int round);
};

disturbance const disturbances[] = {
    {"none", [](cell_world&, int) {}},
    {"workers are cut off for a part of their lease",
     [](cell_world& world, int round)
     { world.cut(0, round % 40 > 3 && round % 40 < 16); }},
    {"answers are lost",
     [](cell_world& world, int) { world.faults_.answers_lost_ = 10; }},
    {"starts and stops are carried out late",
     [](cell_world& world, int) { world.faults_.calls_late_ = 5; }},
    {"owners are replaced",
     [](cell_world& world, int round)
     {
         if (round % 9 == 5)
         {
             world.take_over();
         }
     }},
    {"owners are replaced while a worker is cut off",
     [](cell_world& world, int round)
     {
         world.cut(1, round % 30 > 3 && round % 30 < 15);
         if (round % 30 == 12)
         {
             world.take_over();
         }
     }},
    {"answers are lost and owners are replaced",
     [](cell_world& world, int round)
     {
         world.faults_.answers_lost_ = 10;
         if (round % 23 == 11)
         {
             world.take_over();
         }
     }},
    {"workers are cut off for longer than their lease",
     [](cell_world& world, int round)
     { world.cut(2, round % 90 > 5 && round % 90 < 50); }},
    {"a worker restarts",
     [](cell_world& world, int round)
     {
         if (round % 37 == 20)
         {
             world.crash(3);
         }
     }},
};

} // namespace

// Guards against a second start of each task whose end did not fit into the
// first answer after it.
TEST_CASE("more tasks end at once than an answer lists")
{
    cell_world world(1, 1);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(620, 25, 2000ms)});
    world.run_for(8000ms);
    CHECK(world.violations() == "");
    CHECK(world.runs_of("a") == 620);
    CHECK(world.status("a") == job_status::completed);
}

// Guards against the same in each phase of a task and after each way in which
// an answer can leave ends out.
TEST_CASE("an end that an answer leaves out is no reason for another start")
{
    constexpr int jobs = 6;
    for (auto const& each : disturbances)
    {
        for (std::size_t const limit : {1, 20})
        {
            for (std::uint32_t seed = 1; seed <= 2; ++seed)
            {
                CAPTURE(std::string(each.name_));
                CAPTURE(limit);
                CAPTURE(seed);
                cell_world world(seed, 4);
                world.max_listed_ends_ = limit;
                world.run_for(50ms);
                for (int round = 0; round < 100; ++round)
                {
                    if (round % 5 == 0 && round / 5 < jobs)
                    {
                        world.submit("j" + std::to_string(round / 5),
                                     {cell_world::make_step(30, 400, 350ms)});
                    }
                    each.disturb_(world, round);
                    world.run_for(100ms);
                }
                for (std::uint32_t worker = 0; worker < 4; ++worker)
                {
                    world.cut(worker, false);
                }
                world.faults_ = {};
                world.run_for(15'000ms);
                CHECK(world.violations() == "");
                CHECK(world.all_ended());
            }
        }
    }
}
