#include "kernel/cell/cell_world.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 4;
constexpr std::uint8_t command_kinds = 9;

std::vector<job_step> steps_of(std::uint8_t choice)
{
    auto first = cell_world::make_step(
        1 + choice % 5, 3000 + choice * 20,
        std::chrono::milliseconds{200 + 10 * (choice % 50)});
    auto second = cell_world::make_step(1 + choice % 3, 2000, 300ms);
    second.after_ = {0};
    return choice % 2 == 0 ? std::vector<job_step>{first}
                           : std::vector<job_step>{first, second};
}

/// Executes one random command; `choice` selects its target and parameters.
void execute(cell_world& world, std::uint8_t kind, std::uint8_t choice,
             std::size_t& jobs)
{
    std::uint32_t const worker = choice % worker_count;
    switch (kind % command_kinds)
    {
    case 0:
    case 1:
    case 2:
        world.submit("job" + std::to_string(jobs++), steps_of(choice));
        break;
    case 3:
        world.cancel("job" + std::to_string(jobs == 0 ? 0 : choice % jobs));
        break;
    case 4:
        world.take_over();
        break;
    case 5:
        world.crash(worker);
        break;
    case 6:
        world.cut(worker, choice % 2 == 0);
        break;
    case 7:
        world.store_down_ = choice % 3 == 0;
        break;
    case 8:
        world.faults_ = {choice % 30U, choice / 8U % 30U, choice / 16U % 30U};
        break;
    default:
        break;
    }
    world.run_for(std::chrono::milliseconds{10 * (choice % 64)});
}

/// Executes the commands of a history, then removes all faults and gives the
/// jobs 40 s to end.
void run_history(
    cell_world& world,
    std::vector<std::pair<std::uint8_t, std::uint8_t>> const& history)
{
    std::size_t jobs = 0;
    world.run_for(50ms);
    for (auto const& command : history)
    {
        execute(world, command.first, command.second, jobs);
        world.list_vms();
    }
    world.faults_ = {};
    world.store_down_ = false;
    for (std::uint32_t i = 0; i < worker_count; ++i)
    {
        world.cut(i, false);
    }
    world.run_for(40'000ms);
}

} // namespace

TEST_CASE("no sequence of faults breaks a rule, and every job ends")
{
    check_property(
        "rules of a cell",
        [](std::uint32_t seed,
           std::vector<std::pair<std::uint8_t, std::uint8_t>> const& history)
        {
            cell_world world(seed, worker_count);
            run_history(world, history);
            RC_ASSERT(world.violations() == std::string());
            RC_ASSERT(world.all_ended());
            RC_ASSERT(world.unacknowledged_ends() == 0U);
        });
}

TEST_CASE(
    "an end recorded during an outstanding renewal is acknowledged by the next")
{
    // A history that the property above found. The second of a worker's last
    // two ends is recorded after a renewal was sent and before its answer.
    cell_world world(0, worker_count);
    run_history(world, {{0, 13},
                        {0, 14},
                        {6, 58},
                        {0, 16},
                        {0, 57},
                        {12, 49},
                        {0, 59},
                        {0, 62}});
    CHECK(world.all_ended());
    CHECK(world.unacknowledged_ends() == 0);
}

namespace
{

/// A start that a correct owner never sends, and the events before it.
struct faulty_start
{
    /// Prefix of the breach that the oracle has to report.
    char const* rule_;
    std::vector<job_step> steps_;
    /// Time between the job's submission and the start.
    std::chrono::milliseconds delay_;
    bool fails_ = false;
    bool cancelled_ = false;
    std::uint32_t step_ = 0;
    /// Number of workers that receive the start.
    std::uint32_t starts_ = 1;
};

} // namespace

TEST_CASE("the oracle reports a defect of each kind")
{
    auto const one = [](std::chrono::milliseconds time)
    { return std::vector<job_step>{cell_world::make_step(1, 1000, time)}; };
    faulty_start const faulty_starts[] = {
        {"UNASKED", one(60'000ms), 4000ms, false, true},
        {"TWICE at once", one(60'000ms), 200ms, false, false, 0, worker_count},
        {"TWICE after done", one(100ms), 1000ms},
        {"ORDER", steps_of(1), 20ms, false, false, 1},
        {"BUDGET", one(50ms), 15'000ms, true},
    };
    for (auto const& each : faulty_starts)
    {
        CAPTURE(each.rule_);
        cell_world world(1, worker_count);
        world.run_for(50ms);
        if (each.fails_)
        {
            world.failing_.insert("a");
        }
        world.submit("a", each.steps_);
        world.run_for(100ms);
        if (each.cancelled_)
        {
            world.cancel("a");
        }
        world.run_for(each.delay_);
        for (std::uint32_t i = 0; i < each.starts_; ++i)
        {
            world.force_start(i, {job_id{"a"}, 0, each.step_, 0});
        }
        CHECK(world.has_violation(each.rule_));
    }
}

TEST_CASE("the oracle reports a worker whose tasks exceed its size")
{
    cell_world world(1, worker_count);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(12, 3000, 60'000ms)});
    for (std::uint32_t i = 0; i < 12; ++i)
    {
        world.force_start(0, {job_id{"a"}, 0, 0, i});
    }
    CHECK(world.has_violation("LIMIT"));
}
