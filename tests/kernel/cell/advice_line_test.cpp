#include "kernel/cell/advice_line.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};
step_id const first{job_id{"a"}, 0, 0};
step_id const second{job_id{"b"}, 0, 0};
step_id const third{job_id{"c"}, 0, 0};

} // namespace

// Guards against a line so long that each answer's tickets have expired.
TEST_CASE("as many queries are in flight as can be answered in time")
{
    struct row
    {
        char const* name_;
        advice_policy policy_;
        std::size_t workers_;
        std::size_t in_flight_;
        std::size_t max_workers_;
    };
    row const rows[] = {
        {"fast service", {20ms, 1ms, 3000ms}, 30, 4, 30},
        {"slow service", {750ms, 10ms, 3000ms}, 11, 3, 30},
        {"slow service, many workers", {750ms, 10ms, 3000ms}, 30, 2, 30},
        {"validity of one answer", {750ms, 10ms, 1000ms}, 9, 1, 9},
        {"validity shorter than an answer", {750ms, 10ms, 500ms}, 1, 1, 1},
        {"no validity", {750ms, 10ms, 0ms}, 1, 1, 1},
        {"no time for a worker", {750ms, 0ms, 3000ms}, 30, 3, 30},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        CHECK(max_queried_workers(each.policy_) == each.max_workers_);
        advice_line line;
        while (line.admit(first, each.policy_, each.workers_, start))
        {
            REQUIRE(line.in_flight() < 10);
            line.add(each.policy_.answer_time(each.workers_));
        }
        CHECK(line.in_flight() == each.in_flight_);
    }
}

// Guards against a queue with short-lived tickets that never finds room beside
// one that keeps the line full.
TEST_CASE("a step without room comes next")
{
    advice_policy const lasting{750ms, 0ms, 10s};
    advice_policy const short_lived{750ms, 0ms, 1000ms};
    advice_line line;
    auto now = start;
    std::uint64_t oldest = 1;
    int const queries = 4;
    for (int i = 0; i < queries; ++i)
    {
        REQUIRE(line.admit(first, lasting, 1, now));
        line.add(750ms);
    }
    bool is_admitted = false;
    for (int i = 0; i < queries && !is_admitted; ++i)
    {
        // The other step always asks first.
        CHECK(line.admit(second, short_lived, 1, now) == false);
        CHECK(line.admit(first, lasting, 1, now) == false);
        now += 750ms;
        line.answered(oldest++, start, now);
        CHECK(line.admit(first, lasting, 1, now) == false);
        is_admitted = line.admit(second, short_lived, 1, now);
    }
    CHECK(is_admitted);
}

TEST_CASE("a turn ends if its step does not ask again")
{
    struct row
    {
        char const* name_;
        void (*play_)(advice_line&);
        duration later_;
    };
    row const rows[] = {
        {"its job has ended",
         [](advice_line& line) { line.erase_job(second.job_); }, 0ms},
        {"it waits for room on a worker", [](advice_line&) {}, 2000ms},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        advice_policy const policy{750ms, 0ms, 1000ms};
        advice_line line;
        REQUIRE(line.admit(first, policy, 1, start));
        line.add(750ms);
        CHECK(!line.admit(second, policy, 1, start));
        line.answered(1, start, start);
        CHECK(!line.admit(third, policy, 1, start));
        each.play_(line);
        CHECK(line.admit(third, policy, 1, start + each.later_));
    }
}

// Guards against a service that has been away and never catches up, since
// queries that have timed out are sent again beside those that it still holds.
TEST_CASE("queries that timed out delay the next until one is answered")
{
    advice_policy const policy{750ms, 0ms, 3000ms};
    advice_line line;
    for (int i = 0; i < 3; ++i)
    {
        REQUIRE(line.admit(first, policy, 1, start));
        line.add(750ms);
    }
    line.failed(1, true);
    line.failed(2, true);
    line.failed(3, false);
    CHECK(line.in_flight() == 0);
    CHECK(line.expected_wait() == 1500ms);
    CHECK(line.admit(first, policy, 1, start));
    auto const next = line.add(750ms);
    CHECK(line.expected_wait() == 2250ms);
    CHECK(!line.admit(first, policy, 1, start));
    line.answered(next, start, start + 2250ms);
    CHECK(line.expected_wait() == 0ms);
    CHECK(line.admit(first, policy, 1, start));
}

TEST_CASE("a query begins after the answer to the one before it")
{
    advice_line line;
    auto const a = line.add(750ms);
    auto const b = line.add(750ms);
    auto const c = line.add(750ms);
    auto const d = line.add(750ms);
    CHECK(line.answered(a, start, start + 1s) == start);
    CHECK(line.answered(b, start, start + 2s) == start + 1s);
    // The answer to the last query overtakes the one before it.
    CHECK(line.answered(d, start, start + 4s) == start + 2s);
    CHECK(line.answered(c, start, start + 5s) == start);
    CHECK(line.in_flight() == 0);
    auto const e = line.add(750ms);
    CHECK(line.answered(e, start + 9s, start + 10s) == start + 9s);
}
