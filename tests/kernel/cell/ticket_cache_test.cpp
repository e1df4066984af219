#include "kernel/cell/ticket_cache.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{std::chrono::seconds{100}};
constexpr advice_policy policy{std::chrono::milliseconds{20},
                               std::chrono::milliseconds{1},
                               std::chrono::seconds{30}};
step_id const step{job_id{"a"}, 0, 0};

query_advice make_query()
{
    query_advice query;
    query.step_ = step;
    query.workers_ = {"w", "other"};
    return query;
}

void answer(ticket_cache& tickets, query_advice const& query)
{
    tickets.answered(query, {{"w", "t"}, {"other", "u"}}, policy, start, start);
}

} // namespace

// Guards against a start with a ticket of the worker's previous incarnation.
TEST_CASE("the tickets of a worker end with its incarnation")
{
    struct row
    {
        char const* name_;
        void (*play_)(ticket_cache&, query_advice const&);
    };
    row const rows[] = {
        {"after the answer",
         [](ticket_cache& tickets, query_advice const& query)
         {
             answer(tickets, query);
             tickets.erase_worker("w");
         }},
        {"before the answer",
         [](ticket_cache& tickets, query_advice const& query)
         {
             tickets.erase_worker("w");
             answer(tickets, query);
         }},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        ticket_cache tickets;
        auto query = make_query();
        tickets.requested(query, policy);
        each.play_(tickets, query);
        CHECK(tickets.ticket(step, "w", start) == "");
        CHECK(tickets.status(step, "w", start) == ticket_status::unknown);
        CHECK(tickets.ticket(step, "other", start) == "u");
        CHECK(tickets.can_query(step, start));
    }
}
