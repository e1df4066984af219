#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t members = 4;
constexpr std::uint32_t max_attempts = 3;

void do_nothing(cell_world& /*world*/, int /*at*/) {}

void replace_owner(cell_world& world, int at)
{
    if (at % 4 == 3)
    {
        world.take_over();
    }
}

struct failing_gang
{
    char const* name_;
    std::int64_t cpu_milli_;
    /// Called each 50 ms.
    void (*disturb_)(cell_world&, int at);
};

constexpr failing_gang failing_gangs[] = {
    {"all members on one worker", 100, do_nothing},
    {"a worker for each member", 9000, do_nothing},
    {"all members on one worker, with new owners", 100, replace_owner},
    {"a worker for each member, with new owners", 9000, replace_owner},
};

job_step make_gang(std::int64_t cpu_milli)
{
    auto gang = cell_world::make_step(members, cpu_milli, 500ms);
    gang.gang_ = true;
    return gang;
}

} // namespace

// Guards against a gang that is given up after one run, since several members
// failed in it.
TEST_CASE("a gang fails after as many failed runs as its queue allows")
{
    for (auto const& each : failing_gangs)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed)
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(seed);
            cell_world world(seed, 12);
            world.failing_.insert("a");
            world.run_for(50ms);
            world.submit("a", {make_gang(each.cpu_milli_)});
            for (int at = 0; at < 600; ++at)
            {
                each.disturb_(world, at);
                world.run_for(50ms);
            }
            CHECK(world.status("a") == job_status::failed);
            CHECK(world.runs_of("a") >= max_attempts * members);
            CHECK(world.violations() == "");
        }
    }
}

TEST_CASE("a gang that failed once is started again and completes")
{
    for (auto const& each : failing_gangs)
    {
        CAPTURE(std::string(each.name_));
        cell_world world(1, 12);
        world.failing_.insert("a");
        world.run_for(50ms);
        world.submit("a", {make_gang(each.cpu_milli_)});
        while (world.runs_of("a") < members)
        {
            world.run_for(5ms);
        }
        world.failing_.clear();
        for (int at = 0; at < 200; ++at)
        {
            each.disturb_(world, at);
            world.run_for(50ms);
        }
        CHECK(world.status("a") == job_status::completed);
        CHECK(world.runs_of("a") == 2 * members);
        CHECK(world.violations() == "");
    }
}
