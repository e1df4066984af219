#include "kernel/cell/task_blocks.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

job_definition make_job(std::vector<std::uint32_t> const& tasks)
{
    job_definition job;
    for (auto const each : tasks)
    {
        job_step step;
        step.tasks_ = each;
        job.steps_.push_back(step);
    }
    return job;
}

} // namespace

TEST_CASE("each task is in one block, which lists it")
{
    struct shape
    {
        std::vector<std::uint32_t> tasks_;
        std::uint32_t occurrences_;
    };
    for (auto const& each :
         {shape{{1}, 1}, shape{{128}, 2}, shape{{129, 1, 127}, 3},
          shape{{1000, 3}, 1}, shape{{5, 7}, 60}})
    {
        auto const job = make_job(each.tasks_);
        task_blocks const blocks(job);
        std::uint64_t listed = 0;
        for (std::uint32_t k = 0; k < each.occurrences_; ++k)
        {
            for (std::uint32_t s = 0; s < each.tasks_.size(); ++s)
            {
                for (std::uint32_t i = 0; i < each.tasks_[s]; ++i)
                {
                    task_id const task{job_id{}, k, s, i};
                    auto const block = blocks.block_of(task);
                    auto const tasks =
                        blocks.tasks_of(block, each.occurrences_);
                    CHECK(tasks.size() <= task_blocks::tasks_per_block);
                    listed +=
                        tasks[listed % task_blocks::tasks_per_block] == task
                            ? 1
                            : 0;
                }
            }
        }
        CHECK(listed == blocks.tasks_per_occurrence() * each.occurrences_);
    }
}

TEST_CASE("a block's name is read as it was written")
{
    for (block_number const block : {0U, 1U, 128U, 4'000'000U})
    {
        auto const name = block_name("5c0e7a21d94b36f8", block);
        CHECK(parse_block_name(name).first.text() == "5c0e7a21d94b36f8");
        CHECK(parse_block_name(name).second == block);
    }
    for (auto const* const name : {"a.", "a.0", "a.x", "a.1x", "a.1.2", "a.-1"})
    {
        CAPTURE(std::string(name));
        CHECK_THROWS_AS(parse_block_name(name), std::invalid_argument);
    }
}
