#ifndef CUMINFOLD_TESTS_KERNEL_CELL_EVENT_PATTERN_HPP
#define CUMINFOLD_TESTS_KERNEL_CELL_EVENT_PATTERN_HPP

#include "kernel/cell/cell_world.hpp"

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace cuminfold
{

/// An event that makes an owner move or start long-running tasks.
enum class event_kind : std::uint8_t
{
    drain,
    evacuation,
    crash,
    takeover,
    /// The store goes away or returns.
    store_outage,
    end_of_runs,
    expired_entry,
    /// A worker is cut off or connected again.
    cut,
    /// An idle worker's VM is moved.
    move,
    /// The idle workers start again.
    mass_restart
};

/// Random events during which an owner has to keep long-running tasks at work.
struct event_pattern
{
    char const* name_;
    cell_world::faults faults_;
    /// The kinds with their shares in percent; the rest of 100 does nothing.
    std::vector<std::pair<event_kind, std::uint32_t>> events_;
    std::chrono::milliseconds stop_delay_{0};
    /// Another incarnation answers at the address of a worker that crashed.
    bool reuses_addresses_ = false;
};

/// Tasks of a step that `serving_step()` makes.
constexpr std::uint32_t serving_tasks = 6;

/// Every long-running task runs again within this time after the last fault: a
/// lease of 3 s on a slow clock, and the calls that follow it.
constexpr std::chrono::milliseconds recovery_time{5000};

/// Makes a step of long-running tasks, each on a worker of its own.
job_step serving_step(std::uint32_t max_unavailable);

/// Begins the faults of a pattern.
void begin_faults(cell_world& world, event_pattern const& pattern);

/// Executes one event, on a random worker.
void execute_event(cell_world& world, event_pattern const& pattern,
                   std::mt19937& random);

/// Ends all faults. Workers that drain leave, and new ones take their place.
void end_faults(cell_world& world);

} // namespace cuminfold

#endif
