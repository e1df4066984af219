#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds tick{100};
/// When the gang ends, counted from its submission, in ticks.
constexpr int gang_end = 21;

struct disturbance
{
    char const* name_;
    /// Called each tick.
    void (*disturb_)(cell_world&, int at);
};

disturbance const disturbances[] = {
    {"none", [](cell_world&, int) {}},
    {"one worker is cut off for longer than its lease",
     [](cell_world& world, int at)
     { world.cut(0, at > gang_end - 8 && at < gang_end + 42); }},
    {"one worker is cut off for a part of its lease",
     [](cell_world& world, int at)
     { world.cut(0, at > gang_end - 8 && at < gang_end + 8); }},
    {"three workers are cut off",
     [](cell_world& world, int at)
     {
         for (std::uint32_t i = 0; i < 3; ++i)
         {
             world.cut(i, at > gang_end - 8 && at < gang_end + 42);
         }
     }},
    {"a worker crashes after the end, which was not read",
     [](cell_world& world, int at)
     {
         world.cut(0, at > gang_end - 8 && at < gang_end + 8);
         if (at == gang_end + 5)
         {
             world.crash(0);
         }
     }},
    {"a worker is cut off and the owner is replaced after the end",
     [](cell_world& world, int at)
     {
         world.cut(0, at > gang_end - 8 && at < gang_end + 42);
         if (at == gang_end + 5)
         {
             world.take_over();
         }
     }},
    {"a worker is cut off and the owner is replaced before the end",
     [](cell_world& world, int at)
     {
         world.cut(0, at > gang_end - 8 && at < gang_end + 42);
         if (at == gang_end - 4)
         {
             world.take_over();
         }
     }},
    {"a worker is cut off and owners are replaced again and again",
     [](cell_world& world, int at)
     {
         world.cut(0, at > gang_end - 8 && at < gang_end + 42);
         if (at % 5 == 3)
         {
             world.take_over();
         }
     }},
    {"answers are lost",
     [](cell_world& world, int) { world.faults_.answers_lost_ = 20; }},
};

} // namespace

// Guards against a gang that is never finished, since the end of one member was
// not read before its worker's lease lapsed.
TEST_CASE("one end of a gang that is done ends all its members")
{
    for (auto const& each : disturbances)
    {
        // The members of a larger gang are stored in several records.
        for (std::uint32_t const members : {4U, 400U})
        {
            for (std::uint32_t seed = 1; seed <= 3; ++seed)
            {
                CAPTURE(std::string(each.name_));
                CAPTURE(members);
                CAPTURE(seed);
                cell_world world(seed, 4);
                world.run_for(50ms);
                auto gang = cell_world::make_step(
                    members, members == 4 ? 9000 : 120, 2000ms);
                gang.gang_ = true;
                auto next = cell_world::make_step(2, 1000, 500ms);
                next.after_ = {0};
                world.submit("a", {gang, next});
                for (int at = 0; at < 100; ++at)
                {
                    each.disturb_(world, at);
                    world.run_for(tick);
                }
                world.faults_ = {};
                world.run_for(10'000ms);
                CHECK(world.violations() == "");
                CHECK(world.status("a") == job_status::completed);
                CHECK(world.unacknowledged_ends() == 0);
            }
        }
    }
}

// Guards against a gang that an earlier program has left unfinished.
TEST_CASE("a gang of which one member is stored as done is done")
{
    cell_world world(1, 4);
    world.run_for(50ms);
    auto gang = cell_world::make_step(4, 9000, 2000ms);
    gang.gang_ = true;
    world.submit("a", {gang, cell_world::make_step(1, 100, 60'000ms)});
    world.run_for(4000ms);
    world.forget_progress({job_id{"a"}, 0, 0, 2});
    world.take_over();
    world.run_for(70'000ms);
    CHECK(world.violations() == "");
    CHECK(world.status("a") == job_status::completed);
}
