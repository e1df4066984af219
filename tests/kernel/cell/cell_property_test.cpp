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

/// Carries out one random command; `choice` selects its object.
void carry_out(cell_world& world, std::uint8_t kind, std::uint8_t choice,
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

/// Runs a history and heals all faults at its end.
void play(cell_world& world,
          std::vector<std::pair<std::uint8_t, std::uint8_t>> const& history)
{
    std::size_t jobs = 0;
    world.run_for(50ms);
    for (auto const& command : history)
    {
        carry_out(world, command.first, command.second, jobs);
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

TEST_CASE("no history of faults breaks a rule, and every job ends")
{
    check_property(
        "rules of a cell",
        [](std::uint32_t seed,
           std::vector<std::pair<std::uint8_t, std::uint8_t>> const& history)
        {
            cell_world world(seed, worker_count);
            play(world, history);
            RC_ASSERT(world.violations() == std::string());
            RC_ASSERT(world.all_ended());
            RC_ASSERT(world.unacknowledged_ends() == 0U);
        });
}

TEST_CASE("an end recorded while a renewal is out is acknowledged by the next")
{
    // Found by the property above: the last two ends of a worker fall so that
    // the second is recorded between a renewal and its answer.
    cell_world world(0, worker_count);
    play(world, {{0, 13},
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

/// A start that no owner would give, after a prelude.
struct defect
{
    char const* rule_;
    std::vector<job_step> steps_;
    std::chrono::milliseconds before_;
    bool fails_ = false;
    bool cancelled_ = false;
    std::uint32_t step_ = 0;
    std::uint32_t starts_ = 1;
};

} // namespace

TEST_CASE("the oracle sees a defect of each kind")
{
    auto const one = [](std::chrono::milliseconds time)
    { return std::vector<job_step>{cell_world::make_step(1, 1000, time)}; };
    defect const defects[] = {
        {"UNASKED", one(60'000ms), 4000ms, false, true},
        {"TWICE at once", one(60'000ms), 200ms, false, false, 0, worker_count},
        {"TWICE after done", one(100ms), 1000ms},
        {"ORDER", steps_of(1), 20ms, false, false, 1},
        {"BUDGET", one(50ms), 15'000ms, true},
    };
    for (auto const& each : defects)
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
        world.run_for(each.before_);
        for (std::uint32_t i = 0; i < each.starts_; ++i)
        {
            world.force_start(i, {job_id{"a"}, 0, each.step_, 0});
        }
        CHECK(world.has_violation(each.rule_));
    }
}

TEST_CASE("the oracle sees a worker that is over its size")
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
