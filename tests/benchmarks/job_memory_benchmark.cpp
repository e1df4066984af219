#include "kernel/cell/cell.hpp"
#include "kernel/cell/job_memory.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <cstdint>
#include <limits>
#include <string>

using namespace cuminfold;

namespace
{

constexpr std::uint32_t workers = 500;
constexpr std::uint32_t tasks_per_worker = 8;

double bytes_in_use()
{
    // Blocks of this size and above are mapped by themselves.
    auto const use = mallinfo2();
    return static_cast<double>(use.uordblks + use.hblkhd);
}

std::string worker_name(std::uint32_t number)
{
    return "worker-" + std::to_string(1'000'000'000 + number % workers);
}

job_definition make_job(std::uint32_t tasks)
{
    job_definition job;
    job.id_ = job_id{"0123456789abcdef"};
    job.route_ = "queue";
    job.pool_ = pool_name{"pool"};
    job_step step;
    step.tasks_ = tasks;
    step.each_ = {1, 1, 0};
    job.steps_ = {step};
    return job;
}

/// What the owner holds for a job, by the share of its tasks that have begun.
/// @param begun_percent of the tasks; all but those that fit on the workers
/// have failed once and wait, with a checkpoint
void job_memory(benchmark::State& state, std::uint32_t begun_percent)
{
    auto const tasks = static_cast<std::uint32_t>(state.range(0));
    auto const job = make_job(tasks);
    cell_options options;
    options.max_job_memory_ = std::numeric_limits<std::uint64_t>::max() / 2;
    double bytes = 0;
    for (auto _ : state)
    {
        double const before = bytes_in_use();
        cell owner(options, time_point{});
        owner.restore(job, time_point{});
        job_progress progress;
        progress.status_ = job_status::running;
        for (std::uint32_t i = 0; i < tasks / 100 * begun_percent; ++i)
        {
            task_record record;
            record.task_ = {job_id{}, 0, 0, i};
            record.run_ = 1;
            record.checkpoint_ = "0123456789abcdef";
            record.worker_ =
                i < workers * tasks_per_worker ? worker_name(i) : "";
            progress.tasks_.push_back(record);
        }
        owner.restore_progress(job.id_.text(), progress, time_point{});
        progress = {};
        bytes = bytes_in_use() - before;
    }
    state.counters["bytes_per_task"] = bytes / tasks;
    state.counters["bound_per_task"] =
        static_cast<double>(memory_bound(job)) / tasks;
}

BENCHMARK_CAPTURE(job_memory, waiting, 0U)
    ->Arg(1000)
    ->Arg(20'000)
    ->Arg(400'000);
BENCHMARK_CAPTURE(job_memory, begun, 100U)
    ->Arg(1000)
    ->Arg(20'000)
    ->Arg(400'000);

} // namespace

BENCHMARK_MAIN();
