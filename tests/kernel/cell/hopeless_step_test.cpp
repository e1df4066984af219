#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

/// A job that can never be placed; `number` tells several of them apart.
struct hopeless_kind
{
    char const* name_;
    job_step (*make_)(int number);
};

hopeless_kind const hopeless_kinds[] = {
    {"a label that no worker has",
     [](int)
     {
         auto step = cell_world::make_step(6, 880, 640ms);
         step.label_ = "b";
         return step;
     }},
    {"labels that no worker has",
     [](int number)
     {
         auto step = cell_world::make_step(6, 880, 640ms);
         step.label_ = "b" + std::to_string(number);
         return step;
     }},
    {"a gang of which each worker takes one task",
     [](int)
     {
         auto step = cell_world::make_step(7, 9000, 640ms);
         step.gang_ = true;
         return step;
     }},
    {"gangs of small tasks with anti-affinity",
     [](int number)
     {
         auto step = cell_world::make_step(
             7 + static_cast<std::uint32_t>(number), 10, 640ms);
         step.gang_ = true;
         step.per_worker_ = 1;
         return step;
     }},
};

} // namespace

// Guards against late jobs that never run again, although workers are idle,
// since older steps that can't be placed end each placement.
TEST_CASE("steps that can't be placed hold up no other step")
{
    for (auto const& kind : hopeless_kinds)
    {
        CAPTURE(std::string(kind.name_));
        cell_world world(1, 6);
        world.run_for(50ms);
        for (int i = 0; i < 40; ++i)
        {
            world.submit("hopeless" + std::to_string(i), {kind.make_(i)});
        }
        // Nothing is started until all jobs are late.
        world.entries_stale_ = true;
        world.run_for(5000ms);
        for (int i = 0; i < 10; ++i)
        {
            auto first = cell_world::make_step(6, 880, 640ms);
            auto second = first;
            second.after_ = {0};
            world.submit("a" + std::to_string(i), {first, second});
        }
        world.run_for(70'000ms);
        world.entries_stale_ = false;
        world.run_for(10'000ms);
        CHECK(world.violations() == "");
        for (int i = 0; i < 10; ++i)
        {
            CHECK(world.status("a" + std::to_string(i)) ==
                  job_status::completed);
        }
    }
}
