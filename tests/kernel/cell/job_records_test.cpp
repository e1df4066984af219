#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

/// The users' limits.
constexpr std::size_t max_record_bytes = 262'144;
constexpr std::size_t max_append_bytes = 2'097'152;
/// Bound of a record of job progress with short names, at any size of the job.
constexpr std::size_t max_block_bytes = 8192;

void do_nothing(cell_world& /*world*/, int /*second*/) {}

void replace_owner(cell_world& world, int second)
{
    if (second % 4 == 1)
    {
        world.take_over();
    }
}

void replace_owner_of_one_record(cell_world& world, int second)
{
    if (second % 4 == 1)
    {
        world.merge_blocks();
        world.take_over();
    }
}

job_step after(job_step step, std::vector<std::uint32_t> predecessors)
{
    step.after_ = std::move(predecessors);
    return step;
}

struct large_job
{
    char const* name_;
    std::vector<job_step> steps_;
    std::uint32_t occurrences_;
};

std::vector<large_job> large_jobs()
{
    return {
        {"two wide steps",
         {cell_world::make_step(500, 100, 1000ms),
          after(cell_world::make_step(500, 100, 1000ms), {0})},
         0},
        {"many occurrences", {cell_world::make_step(24, 100, 500ms)}, 40},
    };
}

struct disturbance
{
    char const* name_;
    /// Called each second.
    void (*disturb_)(cell_world&, int second);
};

disturbance const disturbances[] = {
    {"none", do_nothing},
    {"owners are replaced", replace_owner},
    {"owners are replaced that wrote one record for a job",
     replace_owner_of_one_record},
    {"workers are cut off for longer than their lease",
     [](cell_world& world, int second) { world.cut(1, second % 8 < 4); }},
};

} // namespace

// Guards against a cell that stands still since the progress of one job
// outgrows a record of the store.
TEST_CASE("jobs of many tasks stay within the limits of the store")
{
    cell_world world(1, 8);
    world.measures_records_ = true;
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(4000, 4, 3000ms)});
    world.run_for(1000ms);
    CHECK(world.largest_record_ < max_record_bytes);
    CHECK(world.largest_batch_ < max_append_bytes);
}

// Guards against the same, while the job's records are read by other owners.
TEST_CASE("the records of a large job are bounded at any size of the job")
{
    for (auto const& job : large_jobs())
    {
        for (auto const& each : disturbances)
        {
            CAPTURE(std::string(job.name_));
            CAPTURE(std::string(each.name_));
            cell_world world(1, 8);
            world.measures_records_ = true;
            world.run_for(50ms);
            world.submit("a", job.steps_, job.occurrences_);
            world.submit("b", {cell_world::make_step(2, 100, 300ms)});
            for (int second = 0; second < 9; ++second)
            {
                each.disturb_(world, second);
                world.run_for(1000ms);
            }
            world.cut(1, false);
            world.run_for(12'000ms);
            CHECK(world.largest_record_ < max_block_bytes);
            CHECK(world.largest_batch_ < max_append_bytes);
            CHECK(world.violations() == "");
            CHECK(world.status("a") == job_status::completed);
            CHECK(world.status("b") == job_status::completed);
            // Of each job the status alone remains.
            CHECK(world.stored_blocks() == 2);
        }
    }
}

TEST_CASE("a job whose record would be too large is refused at once")
{
    struct definition
    {
        std::size_t text_bytes_;
        std::size_t steps_;
        answer_kind answer_;
    };
    for (auto const& each : {definition{4000, 2, answer_kind::accepted},
                             definition{200'000, 2, answer_kind::accepted},
                             definition{262'144, 2, answer_kind::too_large},
                             definition{100, 1000, answer_kind::accepted},
                             definition{100'000, 1000, answer_kind::too_large}})
    {
        CAPTURE(each.text_bytes_);
        CAPTURE(each.steps_);
        cell_world world(1, 4);
        world.measures_records_ = true;
        world.run_for(50ms);
        std::vector<job_step> steps(each.steps_,
                                    cell_world::make_step(1, 10, 10ms));
        steps[0].image_ = std::string(each.text_bytes_, 'x');
        world.submit("a", steps);
        world.run_for(1000ms);
        CHECK(world.has_answer("a", each.answer_));
        CHECK(world.largest_record_ < max_record_bytes);
    }
}

// Guards against a record that the store refuses for good and that holds up
// all others.
TEST_CASE("a job whose record was rejected fails")
{
    for (auto const* const name : {"a", "a.1"})
    {
        cell_world world(1, 4);
        world.run_for(50ms);
        world.submit("a", {cell_world::make_step(300, 10, 60'000ms)});
        world.submit("b", {cell_world::make_step(1, 10, 300ms)});
        world.run_for(1000ms);
        world.owner().on_record_rejected(name, world.now());
        world.owner().on_record_rejected("unknown", world.now());
        world.run_for(5000ms);
        CHECK(world.status("a") == job_status::failed);
        CHECK(world.running_tasks("a") == 0);
        CHECK(world.status("b") == job_status::completed);
    }
}
