#include "kernel/cell/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::seconds{100}};

ownership make_ownership(std::string const& node, std::uint64_t incarnation = 1,
                         std::int64_t cpu_milli = 250)
{
    ownership_options options;
    options.cpu_milli_ = cpu_milli;
    options.node_ = node;
    options.address_ = node + ":1";
    options.incarnation_ = incarnation;
    return {options, start};
}

owner_record record_of(owner_epoch epoch, std::string const& node,
                       std::uint64_t heartbeat)
{
    return {epoch, node, node + ":1", heartbeat, false};
}

/// The state of an owner as a node observes it, and the expected reaction.
struct owner_scenario
{
    char const* name_;
    bool answers_;
    bool owning_;
    std::chrono::milliseconds unconfirmed_;
    bool renews_record_;
    bool resigned_;
    bool store_reachable_;
    /// The node must take over within this time; 0: never.
    std::chrono::milliseconds takeover_within_;
};

owner_scenario const scenarios[] = {
    {"the owner works", true, true, 100ms, true, false, true, 0ms},
    {"the owner is gone", false, false, 0ms, false, false, true, 2500ms},
    {"the owner was restarted", true, false, 0ms, false, false, true, 2500ms},
    {"only the owner cannot reach the store", true, true, 3000ms, false, false,
     true, 800ms},
    {"only this node cannot reach the owner", false, false, 0ms, true, false,
     true, 0ms},
    {"the owner resigned", true, false, 0ms, false, true, true, 800ms},
    {"no node can reach the store", true, true, 3000ms, false, false, false,
     0ms},
};

/// Runs a scenario for five seconds.
/// @return when the node first tried to take over
std::optional<duration> run_scenario(owner_scenario const& scenario)
{
    auto node = make_ownership("b");
    owner_epoch const epoch = (7ULL << 32U) | 5U;
    std::uint64_t heartbeat = 1;
    auto now = start;
    node.record_read(record_of(epoch, "a", heartbeat), {{"a", 250}, {"b", 250}},
                     now);
    for (; now < start + 5s; now += 10ms)
    {
        heartbeat +=
            scenario.renews_record_ && (now - start) % 300ms == 0ms ? 1 : 0;
        auto const step = node.next(now);
        if (step == ownership_step::ping_owner)
        {
            peer_ping ping;
            ping.epoch_ = epoch;
            ping.owning_ = scenario.owning_;
            ping.unconfirmed_ = scenario.unconfirmed_;
            scenario.answers_ ? node.ping_answered(ping, now)
                              : node.ping_failed(now);
        }
        else if (step == ownership_step::read_record)
        {
            auto record = record_of(epoch, "a", heartbeat);
            record.resigned_ = scenario.resigned_;
            scenario.store_reachable_
                ? node.record_read(record, {{"a", 250}, {"b", 250}}, now)
                : node.record_unreadable(now);
        }
        else if (step == ownership_step::take_over)
        {
            return now - start;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a node takes over only from an owner that no longer works")
{
    for (auto const& each : scenarios)
    {
        CAPTURE(each.name_);
        auto const taken_over = run_scenario(each);
        CHECK(taken_over.has_value() == (each.takeover_within_ != 0ms));
        if (taken_over && each.takeover_within_ != 0ms)
        {
            CHECK(*taken_over <= each.takeover_within_);
        }
    }
}

TEST_CASE("epochs differ between nodes and incarnations")
{
    std::set<owner_epoch> epochs;
    for (auto const* const name : {"a", "b", "c"})
    {
        for (std::uint64_t incarnation = 1; incarnation < 20; ++incarnation)
        {
            auto node = make_ownership(name, incarnation);
            node.record_read(std::nullopt, {{name, 250}}, start + 1s);
            REQUIRE(node.next(start + 1s) == ownership_step::take_over);
            CHECK(epochs.insert(node.epoch()).second);
        }
    }
}

TEST_CASE("a takeover uses an epoch above all that were seen")
{
    auto node = make_ownership("b");
    auto record = record_of(9ULL << 32U, "a", 4);
    record.resigned_ = true;
    auto now = start;
    node.record_read(record, {{"a", 250}, {"b", 250}}, now);
    while (node.next(now) != ownership_step::take_over)
    {
        node.record_read(record, {{"a", 250}, {"b", 250}}, now);
        now += 100ms;
        REQUIRE(now < start + 3s);
    }
    CHECK(node.epoch() > record.epoch_);
    node.takeover_failed(true, now);
    CHECK(!node.owning());
}

TEST_CASE("a node that shuts down does not take over")
{
    auto node = make_ownership("b");
    node.leave(start);
    auto now = start;
    for (; now < start + 5s; now += 50ms)
    {
        auto const step = node.next(now);
        CHECK(step != ownership_step::take_over);
        if (step == ownership_step::read_record)
        {
            node.record_read(std::nullopt, {{"b", 250}}, now);
        }
    }
}

namespace
{

/// When a node tries to take over a cell whose owner is gone or that never had
/// one; empty: not within five seconds.
std::optional<duration>
takeover_time(std::string const& name, std::int64_t cpu_milli,
              std::optional<owner_record> const& record,
              std::map<std::string, std::int64_t> const& nodes)
{
    auto node = make_ownership(name, 1, cpu_milli);
    for (auto now = start; now < start + 5s; now += 10ms)
    {
        auto const step = node.next(now);
        if (step == ownership_step::read_record)
        {
            node.record_read(record, nodes, now);
        }
        else if (step == ownership_step::ping_owner)
        {
            node.ping_failed(now);
        }
        else if (step == ownership_step::take_over)
        {
            return now - start;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("among many nodes, those with more processor time take over first")
{
    std::map<std::string, std::int64_t> nodes;
    for (int i = 0; i < 28; ++i)
    {
        nodes["small" + std::to_string(i)] = 120;
    }
    nodes["large1"] = 500;
    nodes["large2"] = 500;
    auto const gone = record_of(7ULL << 32U, "large0", 1);
    for (auto const& record : {std::optional<owner_record>{}, {gone}})
    {
        auto const one = takeover_time("large1", 500, record, nodes);
        auto const two = takeover_time("large2", 500, record, nodes);
        REQUIRE((one && two));
        CHECK(one != two);
        for (auto const& node : nodes)
        {
            if (node.second == 120)
            {
                auto const small =
                    takeover_time(node.first, node.second, record, nodes);
                REQUIRE(small);
                CHECK(*small > std::max(*one, *two));
            }
        }
    }
}

namespace
{

/// An owner that answers pings and whose confirmation is late, as seen by a
/// node that measures the store's latency itself.
struct slow_store_scenario
{
    char const* name_;
    std::chrono::milliseconds unconfirmed_;
    /// Response time of the node's calls that follow the configuration.
    std::chrono::milliseconds followed_latency_;
    /// When these calls end; at 0 there are none.
    std::chrono::milliseconds followed_until_;
    /// Response time of the reads of the owner's record.
    std::chrono::milliseconds read_latency_;
    bool may_suspect_;
    /// The node must take over within this time; 0: never.
    std::chrono::milliseconds takeover_within_;
};

slow_store_scenario const slow_store_scenarios[] = {
    {"the store is slow for both", 1500ms, 300ms, 9000ms, 300ms, false, 0ms},
    {"the store is very slow for both", 4500ms, 1000ms, 9000ms, 1000ms, false,
     0ms},
    {"only the read of the record shows that the store is slow", 1500ms, 10ms,
     9000ms, 300ms, true, 0ms},
    {"the node follows nothing, and its read is slow", 1500ms, 0ms, 0ms, 300ms,
     true, 0ms},
    {"the store is fast for the node", 1500ms, 10ms, 9000ms, 10ms, true, 800ms},
    {"the store is a little slower than usual for the node", 1200ms, 100ms,
     9000ms, 100ms, true, 800ms},
    {"the owner is later than the store explains", 3000ms, 300ms, 9000ms, 300ms,
     true, 1500ms},
    {"the store has recovered for the node", 1500ms, 300ms, 1000ms, 10ms, true,
     4900ms},
};

struct slow_store_outcome
{
    bool suspected_ = false;
    std::optional<duration> taken_over_;
};

slow_store_outcome run_slow_store(slow_store_scenario const& scenario)
{
    auto node = make_ownership("b");
    owner_epoch const epoch = (7ULL << 32U) | 5U;
    std::map<std::string, std::int64_t> const nodes{{"a", 250}, {"b", 250}};
    auto now = start;
    node.store_answered(scenario.followed_latency_, now);
    node.record_read(record_of(epoch, "a", 1), nodes, now);
    slow_store_outcome outcome;
    bool reading = false;
    time_point read_ends;
    for (; now < start + 9s; now += 10ms)
    {
        if (now < start + scenario.followed_until_ &&
            (now - start) % 1000ms == 0ms)
        {
            node.store_answered(scenario.followed_latency_, now);
        }
        if (reading && now >= read_ends)
        {
            reading = false;
            node.store_answered(scenario.read_latency_, now);
            node.record_read(record_of(epoch, "a", 1), nodes, now);
        }
        auto const step = node.next(now);
        if (step == ownership_step::ping_owner)
        {
            peer_ping ping;
            ping.epoch_ = epoch;
            ping.owning_ = true;
            ping.unconfirmed_ = scenario.unconfirmed_;
            node.ping_answered(ping, now);
        }
        else if (step == ownership_step::read_record)
        {
            outcome.suspected_ = true;
            reading = true;
            read_ends = now + scenario.read_latency_;
        }
        else if (step == ownership_step::take_over)
        {
            outcome.taken_over_ = now - start;
            return outcome;
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("an owner is not deposed for a latency of the store that the "
          "observing node sees too")
{
    for (auto const& each : slow_store_scenarios)
    {
        CAPTURE(each.name_);
        auto const outcome = run_slow_store(each);
        CHECK(outcome.suspected_ == each.may_suspect_);
        CHECK(outcome.taken_over_.has_value() ==
              (each.takeover_within_ != 0ms));
        if (outcome.taken_over_ && each.takeover_within_ != 0ms)
        {
            CHECK(*outcome.taken_over_ <= each.takeover_within_);
        }
    }
}

TEST_CASE("a slow store does not delay the replacement of an owner that is "
          "gone")
{
    std::map<std::string, std::int64_t> const nodes{{"a", 250}, {"b", 250}};
    auto const takeover = [&](duration latency)
    {
        auto node = make_ownership("b");
        node.record_read(record_of(7ULL << 32U, "a", 1), nodes, start);
        auto now = start;
        for (; now < start + 9s; now += 10ms)
        {
            node.store_answered(latency, now);
            auto const step = node.next(now);
            if (step == ownership_step::take_over)
            {
                break;
            }
            if (step == ownership_step::read_record)
            {
                node.record_read(record_of(7ULL << 32U, "a", 1), nodes, now);
            }
            else if (step == ownership_step::ping_owner)
            {
                node.ping_failed(now);
            }
        }
        return now;
    };
    CHECK(takeover(1000ms) == takeover(10ms));
}

// A takeover becomes known to other nodes once its append and the first renewal
// of the record are stored. Nodes that did not wait for that claimed the cell
// in turn while the store was slow.
TEST_CASE("while the store is slow, a node gives the one before it time to "
          "claim the cell and to become known")
{
    struct row
    {
        duration latency_;
        duration least_wait_;
    };
    row const rows[] = {{1ms, 0ms}, {300ms, 900ms}, {600ms, 1500ms}};
    std::map<std::string, std::int64_t> const nodes{{"b", 250}, {"c", 250}};
    auto const gone = record_of(7ULL << 32U, "a", 1);
    for (auto const& each : rows)
    {
        CAPTURE(each.latency_.count());
        std::vector<duration> times;
        for (auto const* const name : {"b", "c"})
        {
            auto node = make_ownership(name);
            auto now = start;
            node.record_read(gone, nodes, now);
            auto record = gone;
            record.resigned_ = true;
            for (; now < start + 20s; now += 10ms)
            {
                node.store_answered(each.latency_, now);
                auto const step = node.next(now);
                if (step == ownership_step::read_record)
                {
                    node.record_read(record, nodes, now);
                }
                else if (step == ownership_step::ping_owner)
                {
                    peer_ping ping;
                    ping.epoch_ = gone.epoch_;
                    node.ping_answered(ping, now);
                }
                else if (step == ownership_step::take_over)
                {
                    break;
                }
            }
            times.push_back(now - start);
        }
        std::sort(times.begin(), times.end());
        // The first node waits for nobody.
        CHECK(times[0] <= 50ms);
        CHECK(times[1] - times[0] >= each.least_wait_);
        CHECK(times[1] - times[0] <= 400ms + 5 * each.latency_);
    }
}
