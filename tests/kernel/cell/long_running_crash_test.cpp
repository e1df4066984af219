#include "kernel/cell/cell_world.hpp"
#include "kernel/cell/task_isolation.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 6;
task_id const deadly_task{job_id{"a"}, 0, 0, 0};

void check_starts(std::chrono::milliseconds delay)
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        cell_world world(seed, worker_count);
        world.lists_vms_ = true;
        world.deadly_delay_ = delay;
        world.deadly_.insert(deadly_task);
        world.run_for(50ms);
        auto step = cell_world::make_step(4, 900, 640ms);
        step.long_running_ = true;
        world.submit("a", {step});
        world.run_for(40'000ms);
        CHECK(world.crashes_by(deadly_task) <= max_unproved_crashes);
        CHECK(world.violations() == "");
    }
}

} // namespace

// Guards against a long-running task that crashes worker after worker.
TEST_CASE("a long-running task that crashes its workers is seldom started")
{
    check_starts(10ms);
}

// Guards against the same for crashes that come later than a long-running task
// is suspected.
TEST_CASE("a long-running task that crashes its workers late is seldom started")
{
    check_starts(1500ms);
}
