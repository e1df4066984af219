// A job that repeats many times, beside ordinary ones. Without the disruption
// it repeats less often.
#include "cases.hpp"

namespace review
{

verdict play_many_times(scene& play)
{
    play.platform_.log_runs_ = false;
    play.run_traffic(milliseconds{3000}, milliseconds{500});
    job_plan plan;
    plan.id_ = "7e21d94b36f85c0e";
    plan.steps_ = {{24, 100, 100}};
    plan.repeat_ = play.trouble_ ? 1250 : 400;
    plan.interval_ms_ = 44;
    plan.first_run_ms_ = calendar_ms() + 1000;
    play.clients_.submit(plan);
    play.run_traffic(milliseconds{66'000}, milliseconds{500});
    play.record_.write("end of the traffic");
    play.run_for(milliseconds{14'000});
    std::vector<std::string> jobs;
    for (auto const& item : play.clients_.jobs_)
    {
        jobs.push_back(item.first);
    }
    play.read_all(jobs);
    auto const open = play.not_completed(jobs);
    if (!play.clients_.jobs_[plan.id_].accepted_)
    {
        return not_run;
    }
    // All times of the job that repeats are past.
    return play.has_stuck(open) ? broken : held;
}

} // namespace review
