// A gang whose work ends while the minion of one member is cut off.
#include "cases.hpp"

namespace review
{

verdict play_gang(scene& play)
{
    job_plan plan;
    plan.id_ = "91b36f85c0e7a21d";
    plan.steps_ = {{4, 3000, 9000, true}, {2, 500, 1000, false, {0}}};
    play.run_traffic(milliseconds{2000}, milliseconds{500});
    play.clients_.submit(plan);
    std::string const first = plan.id_ + ".0.0.0";
    minion* at = nullptr;
    bool const began = play.run_until(
        milliseconds{8000},
        [&]
        {
            for (auto const& each : play.platform_.minions_)
            {
                auto const run = each->running_.find(first + "/1");
                if (run != each->running_.end() && run->second.began_)
                {
                    at = each.get();
                }
            }
            return at != nullptr;
        });
    if (!began)
    {
        play.record_.write("the gang has not begun");
        return not_run;
    }
    play.run_for(milliseconds{2200});
    if (play.trouble_)
    {
        play.record_.write("minion " + at->id_ + ": cut off from the nodes");
        at->cut_ = true;
    }
    play.run_traffic(milliseconds{5000}, milliseconds{500});
    if (play.trouble_)
    {
        at->cut_ = false;
        play.record_.write("minion " + at->id_ + ": the cut is over");
    }
    play.run_traffic(milliseconds{4000}, milliseconds{500});
    play.record_.write("end of the traffic");
    play.run_for(milliseconds{14'000});
    play.read_all({plan.id_});
    auto const open = play.not_completed({plan.id_});
    auto const done = play.platform_.count_done(plan.id_ + ".0.0.");
    auto const second = play.platform_.count_starts(plan.id_ + ".0.1.");
    play.record_.write("job " + plan.id_ + ": " + std::to_string(done) +
                       " members of the gang ended done, starts of the second "
                       "step: " +
                       std::to_string(second));
    if (!play.clients_.jobs_[plan.id_].accepted_ || done == 0)
    {
        return not_run;
    }
    return !open.empty() && second == 0 && play.is_stuck(plan.id_) ? broken
                                                                   : held;
}

} // namespace review
