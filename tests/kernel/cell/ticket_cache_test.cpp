#include "kernel/cell/ticket_cache.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds{100}};
constexpr duration validity = std::chrono::seconds{30};
step_id const step{job_id{"a"}, 0, 0};
std::vector<std::string> const workers{"w", "other"};

void answer(ticket_cache& tickets)
{
    tickets.answered(step, workers, {{"w", "t"}, {"other", "u"}}, validity,
                     start);
}

} // namespace

// Guards against a start with a ticket of the worker's previous incarnation.
TEST_CASE("the tickets of a worker end with its incarnation")
{
    struct row
    {
        char const* name_;
        void (*play_)(ticket_cache&);
    };
    row const rows[] = {
        {"after the answer",
         [](ticket_cache& tickets)
         {
             answer(tickets);
             tickets.erase_worker("w");
         }},
        {"before the answer",
         [](ticket_cache& tickets)
         {
             tickets.erase_worker("w");
             answer(tickets);
         }},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        ticket_cache tickets;
        tickets.requested(step, workers);
        each.play_(tickets);
        CHECK(tickets.ticket(step, "w", start) == "");
        CHECK(tickets.status(step, "w", start) == ticket_status::unknown);
        CHECK(tickets.ticket(step, "other", start) == "u");
        CHECK(tickets.can_query(step, start));
    }
}
