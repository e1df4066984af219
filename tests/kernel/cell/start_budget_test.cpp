#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

task_id const deadly_task{job_id{"a"}, 0, 0, 0};

void do_nothing(cell_world& /*world*/, int /*second*/) {}

/// How little the owner learns of the crashes under a task.
struct unproved_case
{
    char const* name_;
    void (*prepare_)(cell_world&);
    /// Called each second.
    void (*disturb_)(cell_world&, int second);
    std::chrono::milliseconds run_time_{640};
};

unproved_case const unproved_cases[] = {
    {"answers are lost, on idle workers",
     [](cell_world& world) { world.faults_.answers_lost_ = 60; }, do_nothing},
    {"answers are lost and the store is away at times",
     [](cell_world& world) { world.faults_.answers_lost_ = 40; },
     [](cell_world& world, int second) { world.store_down_ = second % 9 < 4; }},
    {"answers are lost and owners are replaced",
     [](cell_world& world) { world.faults_.answers_lost_ = 40; },
     [](cell_world& world, int second)
     {
         if (second % 5 == 2)
         {
             world.take_over();
         }
     }},
    {"starts are late",
     [](cell_world& world) { world.faults_.calls_late_ = 50; }, do_nothing},
    {"workers that crash are away for longer than a loss is explained",
     [](cell_world& world) { world.deadly_down_time_ = 25'000ms; }, do_nothing},
    {"workers crash after seconds",
     [](cell_world& world) { world.deadly_delay_ = 2600ms; }, do_nothing,
     5000ms},
    {"workers crash after seconds and answers are lost",
     [](cell_world& world)
     {
         world.deadly_delay_ = 2600ms;
         world.faults_.answers_lost_ = 30;
     },
     do_nothing, 5000ms},
    {"some runs do not crash their worker at once", [](cell_world&) {},
     [](cell_world& world, int second)
     { world.deadly_delay_ = second / 8 % 2 == 0 ? 10ms : 2600ms; },
     5000ms},
    {"workers crash by themselves as well", [](cell_world&) {},
     [](cell_world& world, int second)
     {
         if (second % 3 == 0)
         {
             world.crash_for(static_cast<std::uint32_t>(second) %
                                 world.worker_count(),
                             1500ms);
         }
     }},
    {"runs fail as well", [](cell_world&) {},
     [](cell_world& world, int second)
     {
         for (std::uint32_t i = 0; second % 2 == 0 && i < 4; ++i)
         {
             world.end_runs(i);
         }
     }},
};

} // namespace

// Guards against a task that is started three times more after three workers
// have crashed under it, since some of the crashes were not proved.
TEST_CASE("starts after three crashes are bounded whatever is known of them")
{
    for (auto const& each : unproved_cases)
    {
        for (std::uint32_t seed = 1; seed <= 8; ++seed)
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(seed);
            cell_world world(seed, 20);
            world.lists_vms_ = true;
            world.deadly_.insert(deadly_task);
            world.run_for(50ms);
            each.prepare_(world);
            world.submit("a", {cell_world::make_step(1, 900, each.run_time_)});
            for (int second = 0; second < 150; ++second)
            {
                each.disturb_(world, second);
                world.run_for(1000ms);
            }
            CHECK(world.violations() == "");
        }
    }
}
