#include "kernel/cell/event_pattern.hpp"

namespace cuminfold
{

job_step serving_step(std::uint32_t max_unavailable)
{
    constexpr std::int64_t cpu_milli = 2000;
    auto step = cell_world::make_step(serving_tasks, cpu_milli,
                                      std::chrono::milliseconds{1000});
    step.long_running_ = true;
    step.per_worker_ = 1;
    step.max_unavailable_ = max_unavailable;
    return step;
}

void begin_faults(cell_world& world, event_pattern const& pattern)
{
    world.faults_ = pattern.faults_;
    world.stop_delay_ = pattern.stop_delay_;
    world.reuses_addresses_ = pattern.reuses_addresses_;
}

void execute_event(cell_world& world, event_pattern const& pattern,
                   std::mt19937& random)
{
    auto const worker =
        static_cast<std::uint32_t>(random() % world.worker_count());
    auto event = static_cast<std::uint32_t>(random() % 100);
    auto const is = [&](std::uint32_t share)
    {
        bool const chosen = event < share;
        event -= chosen ? 0 : share;
        return chosen;
    };
    if (is(pattern.drains_))
    {
        world.drain(worker);
    }
    else if (is(pattern.evacuations_))
    {
        world.owner().evacuate(world.worker(worker).entry_.vm_, world.now());
    }
    else if (is(pattern.crashes_))
    {
        world.crash(worker);
    }
    else if (is(pattern.takeovers_))
    {
        world.take_over();
    }
    else if (is(pattern.store_outages_))
    {
        world.store_down_ = !world.store_down_;
    }
    else if (is(pattern.ended_runs_))
    {
        world.end_runs(worker);
    }
    else if (is(pattern.expired_entries_))
    {
        world.expire_entry(worker);
    }
    else if (is(pattern.cuts_))
    {
        world.cut(worker, !world.worker(worker).disconnected_);
    }
}

void end_faults(cell_world& world)
{
    world.faults_ = {};
    world.stop_delay_ = std::chrono::milliseconds{0};
    world.reuses_addresses_ = false;
    world.store_down_ = false;
    for (std::uint32_t i = 0; i < world.worker_count(); ++i)
    {
        world.cut(i, false);
        if (world.worker(i).entry_.draining_)
        {
            world.crash(i);
        }
    }
}

} // namespace cuminfold
