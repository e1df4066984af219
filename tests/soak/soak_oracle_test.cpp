#include "soak/soak_oracle.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;

namespace
{

task_id const first{job_id{"a"}, 0, 0, 0};
task_id const second{job_id{"a"}, 0, 1, 0};

end_report end_of(task_id const& task, run_end how, std::uint32_t run = 1)
{
    end_report end;
    end.number_ = 1;
    end.task_ = task;
    end.run_ = run;
    end.outcome_ = how;
    return end;
}

struct history
{
    char const* name_;
    /// The rule that it breaks; empty: none.
    char const* rule_;
    void (*happen_)(soak_oracle&);
};

history const histories[] = {
    {"a job ends whole", "",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.ended("w", end_of(first, run_end::done));
         oracle.started("v", second, 1);
         oracle.end_acknowledged("w", end_of(first, run_end::done));
         oracle.ended("v", end_of(second, run_end::done));
         oracle.shown("a", "completed", soak_oracle::clock::now());
         oracle.judge_end();
     }},
    {"a run beside another", "TWICE",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.started("v", first, 2);
     }},
    {"a run beside one that began after a restart under the id", "TWICE",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.crashed("w");
         oracle.started("w", first, 2);
         oracle.started("v", first, 3);
     }},
    {"a run after a restart under the id and a lease that lapsed", "",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.crashed("w");
         oracle.started("w", first, 2);
         oracle.ended("w", end_of(first, run_end::lapsed, 2));
         oracle.started("v", first, 3);
         oracle.ended("v", end_of(first, run_end::done, 3));
         oracle.end_acknowledged("v", end_of(first, run_end::done, 3));
         oracle.started("v", second, 1);
         oracle.ended("v", end_of(second, run_end::done));
         oracle.shown("a", "completed", soak_oracle::clock::now());
         oracle.judge_end();
     }},
    {"a run after an end that was acknowledged", "TWICE",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.ended("w", end_of(first, run_end::done));
         oracle.end_acknowledged("w", end_of(first, run_end::done));
         oracle.started("v", first, 2);
     }},
    {"a run after an end that is acknowledged later", "TWICE",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.ended("w", end_of(first, run_end::done));
         oracle.started("v", first, 2);
         oracle.end_acknowledged("w", end_of(first, run_end::done));
     }},
    {"a run after an end that a crash has taken away", "",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.ended("w", end_of(first, run_end::done));
         oracle.crashed("w");
         oracle.started("v", first, 2);
     }},
    {"a run after an end that is never acknowledged, since its lease lapsed",
     "",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.ended("w", end_of(first, run_end::done));
         oracle.started("v", first, 2);
         auto again = end_of(first, run_end::done);
         again.run_ = 2;
         oracle.ended("v", again);
         oracle.end_acknowledged("v", again);
     }},
    {"a step before the one that it waits for", "ORDER",
     [](soak_oracle& oracle) { oracle.started("w", second, 1); }},
    {"a job that nobody handed in", "UNASKED",
     [](soak_oracle& oracle) {
         oracle.started("w", {job_id{"b"}, 0, 0, 0}, 1);
     }},
    {"a job that was rejected runs", "REFUSED",
     [](soak_oracle& oracle)
     {
         oracle.rejected("a");
         oracle.started("w", first, 1);
     }},
    {"a job that ran is rejected", "REFUSED",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.rejected("a");
     }},
    {"completed before its end", "MIXED",
     [](soak_oracle& oracle)
     { oracle.shown("a", "completed", soak_oracle::clock::now()); }},
    {"accepted and not known", "LOST",
     [](soak_oracle& oracle)
     {
         oracle.shown("a", "",
                      soak_oracle::clock::now() + std::chrono::seconds{4});
     }},
    {"not known right after it was accepted", "",
     [](soak_oracle& oracle)
     { oracle.shown("a", "", soak_oracle::clock::now()); }},
    {"shown as failed", "LOST",
     [](soak_oracle& oracle)
     { oracle.shown("a", "failed", soak_oracle::clock::now()); }},
    {"accepted and never ended", "LOST",
     [](soak_oracle& oracle) { oracle.judge_end(); }},
    {"a run that outlives its job's cancelling", "UNASKED",
     [](soak_oracle& oracle)
     {
         oracle.started("w", first, 1);
         oracle.cancel_sent("a");
         oracle.cancel_acknowledged("a");
         oracle.judge_end();
     }},
};

} // namespace

TEST_CASE("the soak's oracle sees a defect of each kind and nothing else")
{
    for (auto const& each : histories)
    {
        CAPTURE(each.name_);
        soak_oracle oracle;
        oracle.asked("a", 1, true, false);
        oracle.accepted("a");
        each.happen_(oracle);
        auto const breaches = oracle.breaches();
        std::string const rule = each.rule_;
        CHECK(breaches.empty() == rule.empty());
        if (!rule.empty() && !breaches.empty())
        {
            CHECK(breaches.front().rfind(rule + ":", 0) == 0);
        }
    }
}
