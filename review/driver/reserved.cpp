// A machine is due for upkeep just after another one was lost, and both have
// work items of one long-running step.
#include "cases.hpp"

namespace review
{

namespace
{

constexpr int item_cpu = 4500;
constexpr int machine_cpu = 16000;

/// Submits a job of work items that last and waits until all of them run.
bool begin_job(scene& play, std::string const& id, std::uint32_t count, int cpu)
{
    job_plan plan;
    plan.id_ = id;
    step_plan step{count, 0, cpu};
    step.long_running_ = true;
    step.max_unavailable_ = 1;
    plan.steps_ = {step};
    play.clients_.submit(plan);
    return play.run_until(milliseconds{8000}, [&]
                          { return play.platform_.running_of(id) == count; });
}

/// Whether a sound minion has room for two more of the work items.
bool has_room(scene const& play)
{
    return std::any_of(
        play.platform_.minions_.begin(), play.platform_.minions_.end(),
        [](auto const& each)
        {
            int used = 0;
            for (auto const& run : each->running_)
            {
                used += run.second.cpu_;
            }
            return !each->is_gone() && machine_cpu - used >= 2 * item_cpu;
        });
}

} // namespace

verdict play_reserved(scene& play)
{
    std::string const job = "21d94b36f85c0e7a";
    // Six machines are full, and two have much room left.
    if (!begin_job(play, "0e7a21d94b36f85c", 6, machine_cpu) ||
        !begin_job(play, job, 2, item_cpu))
    {
        play.record_.write("the jobs have not begun");
        return not_run;
    }
    std::vector<minion*> hosts;
    for (auto const& each : play.platform_.minions_)
    {
        for (auto const& run : each->running_)
        {
            if (run.second.task_.rfind(job + ".", 0) == 0)
            {
                hosts.push_back(each.get());
            }
        }
    }
    if (hosts.size() != 2 || hosts[0] == hosts[1])
    {
        return not_run;
    }
    play.run_for(milliseconds{5000});
    if (play.trouble_)
    {
        play.platform_.lose(*hosts[0]);
    }
    play.run_for(milliseconds{2800});
    play.platform_.put_wave(hosts[1]->machine_);
    play.run_for(milliseconds{30000});
    play.clients_.read(job);
    // The check of LOST for a work item that lasts.
    auto const limit = clock_type::now() + milliseconds{3000};
    bool missing = true;
    bool room = true;
    while (clock_type::now() < limit)
    {
        play.run_for(milliseconds{50});
        missing = missing && play.platform_.running_of(job) < 2;
        room = room && has_room(play);
    }
    play.record_.write("job " + job + ": " +
                       std::to_string(play.platform_.running_of(job)) +
                       " of 2 work items run; a sound minion has room for two "
                       "more: " +
                       (room ? "yes" : "no"));
    return missing && room ? broken : held;
}

} // namespace review
