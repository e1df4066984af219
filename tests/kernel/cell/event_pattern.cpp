#include "kernel/cell/event_pattern.hpp"

namespace cuminfold
{

namespace
{

bool is_idle(cell_world& world, std::uint32_t worker)
{
    auto const& state = world.worker(worker);
    return !state.is_down_ && state.running_.empty() && state.ends_.empty();
}

void restart_idle_workers(cell_world& world)
{
    for (std::uint32_t i = 0; i < world.worker_count(); ++i)
    {
        if (is_idle(world, i))
        {
            world.crash(i);
        }
    }
}

void execute(cell_world& world, event_kind kind, std::uint32_t worker)
{
    switch (kind)
    {
    case event_kind::drain:
        world.drain(worker);
        return;
    case event_kind::evacuation:
        world.owner().evacuate(world.worker(worker).entry_.vm_, world.now());
        return;
    case event_kind::crash:
        world.crash(worker);
        return;
    case event_kind::takeover:
        world.take_over();
        return;
    case event_kind::store_outage:
        world.store_down_ = !world.store_down_;
        return;
    case event_kind::end_of_runs:
        world.end_runs(worker);
        return;
    case event_kind::expired_entry:
        world.expire_entry(worker);
        return;
    case event_kind::cut:
        world.cut(worker, !world.worker(worker).disconnected_);
        return;
    case event_kind::move:
        if (is_idle(world, worker))
        {
            world.move(worker);
        }
        return;
    case event_kind::mass_restart:
        restart_idle_workers(world);
        return;
    }
}

} // namespace

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
    auto remaining = static_cast<std::uint32_t>(random() % 100);
    for (auto const& event : pattern.events_)
    {
        if (remaining < event.second)
        {
            execute(world, event.first, worker);
            return;
        }
        remaining -= event.second;
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
