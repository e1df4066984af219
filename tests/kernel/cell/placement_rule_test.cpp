#include "kernel/cell/placement_rule.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

worker_state make_worker()
{
    worker_state worker;
    worker.fenced_ = true;
    worker.entry_.size_ = {16'000, 65'536, 1};
    worker.entry_.labels_ = {"kind", "rack"};
    return worker;
}

struct rule_case
{
    char const* violated_; ///< null: the task may be placed
    void (*change_)(worker_state&, job_step&);
};

rule_case const cases[] = {
    {nullptr, [](worker_state&, job_step&) {}},
    {"worker_gone", [](worker_state& w, job_step&) { w.unlisted_ = true; }},
    {"worker_not_fenced",
     [](worker_state& w, job_step&) { w.fenced_ = false; }},
    {"worker_leaving",
     [](worker_state& w, job_step&) { w.entry_.draining_ = true; }},
    {"worker_leaving", [](worker_state& w, job_step&) { w.reserved_ = true; }},
    {"worker_silent",
     [](worker_state& w, job_step&) { w.unanswered_renewals_ = 1; }},
    {"worker_failing",
     [](worker_state& w, job_step&) { w.avoided_until_ = time_point{20s}; }},
    {"worker_failing",
     [](worker_state& w, job_step& s)
     {
         w.avoided_until_ = time_point{20s};
         w.last_failure_ = time_point{9'500ms};
         s.long_running_ = true;
     }},
    {nullptr,
     [](worker_state& w, job_step& s)
     {
         w.avoided_until_ = time_point{20s};
         w.last_failure_ = time_point{9s};
         s.long_running_ = true;
     }},
    {"label_missing", [](worker_state&, job_step& s) { s.label_ = "other"; }},
    {nullptr, [](worker_state&, job_step& s) { s.label_ = "kind"; }},
    {"anti_affinity", [](worker_state&, job_step& s) { s.per_worker_ = 1; }},
    {"stray_run",
     [](worker_state& w, job_step&) {
         w.orphaned_runs_[task_id{}] = {1, {}};
     }},
    {"disturbance",
     [](worker_state& w, job_step& s)
     {
         w.tail_bounded_tasks_ = 1;
         s.best_effort_ = true;
     }},
    {"disturbance",
     [](worker_state& w, job_step& s)
     {
         w.best_effort_tasks_ = 1;
         s.tail_target_ = 50ms;
     }},
    {"isolation", [](worker_state& w, job_step&) { w.suspected_tasks_ = 1; }},
    {"no_room",
     [](worker_state& w, job_step& s)
     {
         w.used_.cpu_milli_ = 15'500;
         s.each_.cpu_milli_ = 600;
     }},
    {"no_room",
     [](worker_state&, job_step& s) { s.each_.memory_mb_ = 70'000; }},
    {"no_room", [](worker_state&, job_step& s) { s.each_.accelerators_ = 2; }},
    {nullptr,
     [](worker_state& w, job_step& s)
     {
         w.used_.cpu_milli_ = 16'000;
         s.each_.cpu_milli_ = 4000;
         s.best_effort_ = true;
     }},
};

} // namespace

TEST_CASE("each placement rule rejects a worker with its own reason")
{
    for (auto const& each : cases)
    {
        auto worker = make_worker();
        job_step step;
        each.change_(worker, step);
        auto const* const rule = violated_rule(
            {worker, step, 1, time_point{10s}, task_isolation::none});
        CHECK(std::string(rule == nullptr ? "" : rule->reason_) ==
              (each.violated_ == nullptr ? "" : each.violated_));
    }
}

TEST_CASE("a worker with long-running tasks is preferred to an empty one")
{
    auto holder = make_worker();
    holder.long_running_tasks_ = 1;
    auto const empty = make_worker();
    job_step const step;
    CHECK(placement_score({holder, step, 0, {}, std::nullopt}) >
          placement_score({empty, step, 0, {}, std::nullopt}));
}

TEST_CASE("an avoided worker is the last choice for a long-running task")
{
    auto avoided = make_worker();
    avoided.avoided_until_ = time_point{20s};
    avoided.entry_.labels_.insert("data");
    auto const other = make_worker();
    job_step step;
    step.long_running_ = true;
    step.data_rack_ = "data";
    CHECK(placement_score({other, step, 10, time_point{10s}, std::nullopt}) >
          placement_score({avoided, step, 0, time_point{10s}, std::nullopt}));
}

TEST_CASE("a worker has as many slots as its scarcest resource allows")
{
    struct slots_case
    {
        resource_amount each_;
        std::uint32_t per_worker_;
        bool best_effort_;
        std::uint32_t slots_;
    };
    for (auto const& each : {slots_case{{100, 0, 0}, 0, false, 9},
                             slots_case{{100, 30, 0}, 0, false, 3},
                             slots_case{{100, 30, 1}, 0, false, 2},
                             slots_case{{100, 30, 0}, 1, false, 1},
                             slots_case{{100, 30, 0}, 7, false, 3},
                             slots_case{{100, 30, 0}, 0, true, 3},
                             slots_case{{0, 0, 0}, 0, false, 12},
                             slots_case{{901, 0, 0}, 0, false, 0}})
    {
        CAPTURE(each.each_.memory_mb_);
        CAPTURE(each.slots_);
        worker_state worker;
        worker.fenced_ = true;
        worker.entry_.size_ = {1000, 100, 2};
        worker.used_ = {100, 0, 0};
        job_step step;
        step.each_ = each.each_;
        step.per_worker_ = each.per_worker_;
        step.best_effort_ = each.best_effort_;
        CHECK(task_slots({worker, step, 0, time_point{}, std::nullopt}, 12) ==
              each.slots_);
    }
}
