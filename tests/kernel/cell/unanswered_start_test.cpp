#include "kernel/cell/event_pattern.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <random>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 12;

/// What happens to the first starts of a step, until the network is sound.
struct start_pattern
{
    char const* name_;
    cell_world::faults faults_;
    /// The faults last for this long after the submission.
    std::chrono::milliseconds duration_;
    /// Number of workers that are cut off meanwhile.
    std::uint32_t cut_workers_ = 0;
    /// A new owner takes over at the end of the faults.
    bool takeover_ = false;
};

start_pattern const start_patterns[] = {
    {"all starts are lost", {0, 100, 0}, 320ms},
    {"all starts and the queries after them are lost", {0, 100, 0}, 2500ms},
    {"half of the starts are lost", {0, 50, 0}, 320ms},
    {"all starts are executed late", {0, 0, 100}, 320ms},
    {"half of the answers are lost", {50, 0, 0}, 320ms},
    {"the answers and the stops are lost", {60, 20, 0, 100}, 900ms},
    {"half of the workers are cut off", {}, 1200ms, worker_count / 2},
    {"replacements are lost behind a longer cut",
     {0, 30, 0},
     5500ms,
     worker_count / 2},
    {"a new owner takes over after lost starts", {0, 100, 0}, 320ms, 0, true},
    {"a new owner takes over during late starts", {0, 0, 60}, 320ms, 0, true},
};

event_pattern const event_patterns[] = {
    {"calls are lost",
     {5, 30, 0},
     {{event_kind::evacuation, 30}, {event_kind::crash, 10}}},
    {"calls are late",
     {0, 0, 40},
     {{event_kind::evacuation, 40}, {event_kind::crash, 5}}},
    {"calls are late and most stops are lost",
     {0, 0, 50, 85},
     {{event_kind::evacuation, 60}, {event_kind::crash, 20}}},
    {"calls are late and stops are slow",
     {0, 0, 40, 60},
     {{event_kind::evacuation, 30}, {event_kind::crash, 20}},
     500ms},
    {"workers are cut off",
     {0, 5, 5},
     {{event_kind::evacuation, 20},
      {event_kind::crash, 5},
      {event_kind::cut, 50}}},
    {"workers drain while calls are late",
     {0, 5, 30},
     {{event_kind::drain, 40},
      {event_kind::evacuation, 10},
      {event_kind::crash, 10}}},
    {"workers drain while stops are slow",
     {0, 5, 30},
     {{event_kind::drain, 30},
      {event_kind::evacuation, 10},
      {event_kind::crash, 20}},
     800ms},
    {"workers crash while stops are lost",
     {10, 10, 10, 60},
     {{event_kind::drain, 10},
      {event_kind::evacuation, 20},
      {event_kind::crash, 30},
      {event_kind::cut, 10}}},
    {"owners are replaced while calls are lost",
     {10, 20, 10},
     {{event_kind::drain, 5},
      {event_kind::evacuation, 30},
      {event_kind::crash, 5},
      {event_kind::takeover, 15},
      {event_kind::cut, 10}}},
};

} // namespace

// Guards against a step whose unanswered starts waited for each other, so that
// none of its tasks ever ran.
TEST_CASE("tasks of a step with unanswered starts run after the last fault")
{
    for (auto const& pattern : start_patterns)
    {
        for (std::uint32_t limit = 1; limit <= serving_tasks; ++limit)
        {
            CAPTURE(std::string(pattern.name_));
            CAPTURE(limit);
            cell_world world(limit, worker_count);
            world.run_for(50ms);
            world.faults_ = pattern.faults_;
            for (std::uint32_t i = 0; i < pattern.cut_workers_; ++i)
            {
                world.cut(2 * i, true);
            }
            world.submit("a", {serving_step(limit)});
            world.run_for(pattern.duration_);
            end_faults(world);
            if (pattern.takeover_)
            {
                world.take_over();
            }
            bool const is_late = pattern.faults_.calls_late_ > 0;
            world.run_for(recovery_time +
                          (is_late ? cell_world::max_call_delay : 0ms));
            CHECK(world.running_tasks("a") == serving_tasks);
            CHECK(world.violations() == "");
        }
    }
}

// Guards against a limit on unavailable tasks that is kept because nothing
// starts again.
TEST_CASE("no fault ends too many tasks, and all run again after the last one")
{
    for (auto const& pattern : event_patterns)
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed)
        {
            CAPTURE(std::string(pattern.name_));
            CAPTURE(seed);
            std::mt19937 random(seed);
            cell_world world(seed, worker_count);
            world.run_for(50ms);
            begin_faults(world, pattern);
            world.submit("a", {serving_step(1 + seed % 3)});
            world.submit("b", {serving_step(2)});
            world.run_for(60ms);
            REQUIRE(world.has_answer("a", answer_kind::accepted));
            REQUIRE(world.has_answer("b", answer_kind::accepted));
            for (int i = 0; i < 50; ++i)
            {
                execute_event(world, pattern, random);
                world.run_for(std::chrono::milliseconds{random() % 300});
            }
            end_faults(world);
            world.run_for(cell_world::max_call_delay + recovery_time);
            CHECK(world.running_tasks("a") == serving_tasks);
            CHECK(world.running_tasks("b") == serving_tasks);
            CHECK(world.violations() == "");
        }
    }
}

// Guards against jobs that no longer count as pending although none of their
// tasks has begun.
TEST_CASE("a job whose starts have no answer is pending")
{
    cell_world world(1, 4);
    world.run_for(50ms);
    world.faults_.calls_lost_ = 100;
    world.submit("a", {cell_world::make_step(2, 900, 640ms)});
    world.run_for(1000ms);
    auto const is_begun = [&] { return world.owner().jobs().at("a").begun_; };
    CHECK_FALSE(is_begun());
    world.take_over();
    CHECK_FALSE(is_begun());
    world.faults_ = {};
    world.run_for(5000ms);
    CHECK(world.status("a") == job_status::completed);
}

TEST_CASE("a job is no longer pending once one of its tasks has begun")
{
    struct begin_case
    {
        char const* name_;
        std::uint32_t answers_lost_;
        bool takeover_;
    };
    begin_case const cases[] = {{"the start is answered", 0, false},
                                {"a renewal reports the run", 100, false},
                                {"a renewal of the next owner does", 0, true}};
    for (auto const& each : cases)
    {
        CAPTURE(std::string(each.name_));
        cell_world world(1, 4);
        world.run_for(50ms);
        world.faults_.answers_lost_ = each.answers_lost_;
        world.submit("a", {cell_world::make_step(2, 900, 5000ms)});
        world.run_for(200ms);
        world.faults_ = {};
        if (each.takeover_)
        {
            world.take_over();
        }
        world.run_for(1000ms);
        CHECK(world.owner().jobs().at("a").begun_);
    }
}
