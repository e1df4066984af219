// Jobs that can never be done, since no minion has their label, beside ordinary
// ones, of which some take longer than their estimates.
#include "cases.hpp"

namespace review
{

verdict play_hopeless(scene& play)
{
    constexpr unsigned all = 500;
    constexpr unsigned hopeless_one_in = 34;
    constexpr unsigned slow_one_in = 10;
    constexpr int work_ms = 640;
    constexpr int slow_ms = 1600;
    constexpr int slow_estimate_ms = 400;

    play.platform_.log_runs_ = false;
    std::vector<std::string> ordinary;
    for (unsigned i = 0; i < all; ++i)
    {
        job_plan plan;
        plan.id_ = scene::make_id("5c0e7a22", i);
        bool const slow = i % slow_one_in == 7;
        std::uint32_t const steps = slow ? 4 : 2;
        for (std::uint32_t step = 0; step < steps; ++step)
        {
            step_plan made{6, slow ? slow_ms : work_ms, 880};
            made.estimate_ms_ = slow ? slow_estimate_ms : work_ms;
            if (step > 0)
            {
                made.after_ = {step - 1};
            }
            plan.steps_.push_back(made);
        }
        if (play.trouble_ && i % hopeless_one_in == 3)
        {
            for (auto& step : plan.steps_)
            {
                step.requirements_ = "b";
                step.after_.clear();
            }
            play.record_.write("job " + plan.id_ + " can never be done");
        }
        else
        {
            ordinary.push_back(plan.id_);
        }
        play.clients_.submit(plan);
        play.run_for(milliseconds{100});
    }
    play.record_.write("end of the traffic");
    play.run_for(milliseconds{14'000});
    play.read_all(ordinary);
    auto const open = play.not_completed(ordinary);
    for (auto const& id : open)
    {
        std::string line = "job " + id + ": work items done of each step:";
        for (std::size_t step = 0;
             step < play.clients_.jobs_[id].plan_.steps_.size(); ++step)
        {
            line += ' ' + std::to_string(play.platform_.count_done(
                              id + ".0." + std::to_string(step) + "."));
        }
        play.record_.write(line);
    }
    return play.has_stuck(open) ? broken : held;
}

} // namespace review
