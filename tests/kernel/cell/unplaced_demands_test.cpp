#include "kernel/cell/unplaced_demands.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

job_step make_step(std::int64_t cpu, std::int64_t memory, char const* label)
{
    job_step step;
    step.each_ = {cpu, memory, 0};
    step.label_ = label;
    return step;
}

struct demand_case
{
    char const* name_;
    void (*change_)(job_step&);
    bool is_covered_;
};

} // namespace

TEST_CASE("a failed search covers steps that demand as much or more")
{
    demand_case const cases[] = {
        {"the same", [](job_step&) {}, true},
        {"more processor time",
         [](job_step& step) { step.each_.cpu_milli_ += 1; }, true},
        {"an accelerator", [](job_step& step) { step.each_.accelerators_ = 1; },
         true},
        {"less processor time",
         [](job_step& step) { step.each_.cpu_milli_ -= 1; }, false},
        {"more processor time and less memory",
         [](job_step& step)
         {
             step.each_.cpu_milli_ += 1;
             step.each_.memory_mb_ -= 1;
         },
         false},
        {"a label that a worker has", [](job_step& step) { step.label_ = "b"; },
         false},
        {"no label", [](job_step& step) { step.label_ = ""; }, false},
        {"anti-affinity", [](job_step& step) { step.per_worker_ = 1; }, true},
        {"best effort", [](job_step& step) { step.best_effort_ = true; },
         false},
        {"long-running", [](job_step& step) { step.long_running_ = true; },
         false},
        {"a bound on its tail latency",
         [](job_step& step) { step.tail_target_ = 5ms; }, false},
        {"another data rack", [](job_step& step) { step.data_rack_ = "r"; },
         true},
    };
    worker_state worker;
    worker.entry_.labels_ = {"a", "b"};
    std::vector<worker_state*> const candidates = {&worker};
    for (auto const& each : cases)
    {
        CAPTURE(std::string(each.name_));
        unplaced_demands unplaced(candidates);
        auto step = make_step(100, 10, "a");
        CHECK_FALSE(unplaced.covers_task(step));
        unplaced.add_task(step);
        each.change_(step);
        CHECK(unplaced.covers_task(step) == each.is_covered_);
        step.gang_ = true;
        step.tasks_ = 3;
        CHECK(unplaced.covers_gang(step) == each.is_covered_);
    }
}

TEST_CASE("a failed gang covers gangs of as many tasks that spread as much")
{
    struct gang
    {
        std::uint32_t tasks_;
        std::uint32_t per_worker_;
        bool is_covered_;
    };
    worker_state worker;
    std::vector<worker_state*> const candidates = {&worker};
    unplaced_demands unplaced(candidates);
    auto step = make_step(100, 10, "");
    step.gang_ = true;
    step.tasks_ = 4;
    step.per_worker_ = 2;
    unplaced.add_gang(step);
    for (auto const& each :
         {gang{4, 2, true}, gang{5, 1, true}, gang{4, 0, false},
          gang{4, 3, false}, gang{3, 2, false}})
    {
        CAPTURE(each.tasks_);
        CAPTURE(each.per_worker_);
        step.tasks_ = each.tasks_;
        step.per_worker_ = each.per_worker_;
        CHECK(unplaced.covers_gang(step) == each.is_covered_);
        CHECK_FALSE(unplaced.covers_task(step));
    }
}

TEST_CASE("a label that no candidate has needs no search")
{
    worker_state worker;
    worker.entry_.labels_ = {"a"};
    std::vector<worker_state*> const candidates = {&worker};
    unplaced_demands unplaced(candidates);
    CHECK(unplaced.covers_task(make_step(1, 1, "b")));
    CHECK(unplaced.covers_gang(make_step(1, 1, "b")));
    CHECK_FALSE(unplaced.covers_task(make_step(1, 1, "a")));
}
