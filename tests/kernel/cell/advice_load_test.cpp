#include "cell_world.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

using ticket_start = cell_world::ticket_start;

/// Jobs of one task each on a queue whose policy service handles one query at a
/// time.
struct load_case
{
    char const* name_;
    advice_policy policy_;
    int jobs_;
    std::chrono::milliseconds interval_;
    /// Queries of an earlier process, which the service handles first.
    std::chrono::milliseconds delay_;
    /// The policy allows a start only if a ticket is valid from its answer on.
    bool is_short_;
};

load_case const load_cases[] = {
    {"a burst", {750ms, 10ms, 3000ms}, 10, 400ms, 0ms, false},
    {"all jobs at once", {750ms, 10ms, 3000ms}, 10, 0ms, 0ms, false},
    {"validity of little more than one answer",
     {750ms, 10ms, 1000ms},
     10,
     400ms,
     0ms,
     false},
    {"validity shorter than an answer",
     {750ms, 10ms, 500ms},
     5,
     400ms,
     0ms,
     true},
    {"validity shorter than the margin of a start",
     {20ms, 1ms, 120ms},
     20,
     50ms,
     0ms,
     false},
    {"a restart with queries of the former process",
     {750ms, 10ms, 3000ms},
     10,
     400ms,
     4000ms,
     false},
    {"a service that was away", {750ms, 10ms, 3000ms}, 10, 400ms, 10s, false},
};

} // namespace

// Guards against a queue whose jobs never start since each ticket counts as
// expired when it arrives, so that load alone keeps all workers idle.
TEST_CASE("waiting for the policy service ends under load")
{
    for (auto const& each : load_cases)
    {
        for (auto const from : {ticket_start::request, ticket_start::decision,
                                ticket_start::answer})
        {
            if (each.is_short_ && from != ticket_start::answer)
            {
                continue;
            }
            CAPTURE(std::string(each.name_));
            CAPTURE(static_cast<int>(from));
            cell_world world(19, 11);
            world.set_policy(each.policy_, from);
            world.run_for(50ms);
            world.delay_advice(each.delay_);
            for (int i = 0; i < each.jobs_; ++i)
            {
                world.submit("a" + std::to_string(i),
                             {cell_world::make_step(1, 1000, 640ms)});
                world.run_for(each.interval_);
            }
            // The service can handle the queries of all jobs in this time.
            world.run_for(each.delay_ + 14s);
            CHECK(world.all_ended());
            CHECK(world.violations() == "");
            for (int i = 0; i < each.jobs_; ++i)
            {
                CHECK(world.status("a" + std::to_string(i)) ==
                      job_status::completed);
            }
        }
    }
}
