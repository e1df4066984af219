#include "kernel/cell/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

time_point const start{std::chrono::seconds{100}};

ownership make(std::string const& node, std::uint64_t life = 1,
               std::int64_t cpu_milli = 250)
{
    ownership_options options;
    options.cpu_milli_ = cpu_milli;
    options.node_ = node;
    options.address_ = node + ":1";
    options.incarnation_ = life;
    return {options, start};
}

owner_record record_of(owner_epoch epoch, std::string const& node,
                       std::uint64_t beat)
{
    return {epoch, node, node + ":1", beat, false};
}

/// What a node sees of its owner, and when it should try to take over.
struct view
{
    char const* name_;
    bool answers_;
    bool owning_;
    std::chrono::milliseconds unconfirmed_;
    bool beats_;
    bool resigned_;
    bool store_;
    /// It must take over within this; 0: never.
    std::chrono::milliseconds within_;
};

view const views[] = {
    {"all is well", true, true, 100ms, true, false, true, 0ms},
    {"the owner is gone", false, false, 0ms, false, false, true, 2500ms},
    {"the owner was restarted", true, false, 0ms, false, false, true, 2500ms},
    {"the owner is cut from the store alone", true, true, 3000ms, false, false,
     true, 800ms},
    {"only the way to the owner is cut", false, false, 0ms, true, false, true,
     0ms},
    {"the owner resigned", true, false, 0ms, false, true, true, 800ms},
    {"the store is down for all", true, true, 3000ms, false, false, false, 0ms},
};

/// Plays a view for five seconds.
/// @return when the node first tried to take over
std::optional<duration> play(view const& seen)
{
    auto node = make("b");
    owner_epoch const epoch = (7ULL << 32U) | 5U;
    std::uint64_t beat = 1;
    auto now = start;
    node.record_read(record_of(epoch, "a", beat), {{"a", 250}, {"b", 250}},
                     now);
    for (; now < start + 5s; now += 10ms)
    {
        beat += seen.beats_ && (now - start) % 300ms == 0ms ? 1 : 0;
        auto const step = node.next(now);
        if (step == ownership_step::ping_owner)
        {
            peer_ping ping;
            ping.epoch_ = epoch;
            ping.owning_ = seen.owning_;
            ping.unconfirmed_ = seen.unconfirmed_;
            seen.answers_ ? node.ping_answered(ping, now)
                          : node.ping_failed(now);
        }
        else if (step == ownership_step::read_record)
        {
            auto record = record_of(epoch, "a", beat);
            record.resigned_ = seen.resigned_;
            seen.store_
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

TEST_CASE("a node takes over from an owner that is gone, and from no other")
{
    for (auto const& each : views)
    {
        CAPTURE(each.name_);
        auto const took = play(each);
        CHECK(took.has_value() == (each.within_ != 0ms));
        if (took && each.within_ != 0ms)
        {
            CHECK(*took <= each.within_);
        }
    }
}

TEST_CASE("no two nodes or lives take over with one epoch")
{
    std::set<owner_epoch> epochs;
    for (auto const* const name : {"a", "b", "c"})
    {
        for (std::uint64_t life = 1; life < 20; ++life)
        {
            auto node = make(name, life);
            node.record_read(std::nullopt, {{name, 250}}, start + 1s);
            REQUIRE(node.next(start + 1s) == ownership_step::take_over);
            CHECK(epochs.insert(node.epoch()).second);
        }
    }
}

TEST_CASE("an epoch is higher than all that were seen")
{
    auto node = make("b");
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

TEST_CASE("a node that stops follows but does not take over")
{
    auto node = make("b");
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

/// When a node tries to take over a cell whose owner is gone, or that has had
/// none.
std::optional<duration>
takeover_time(std::string const& name, std::int64_t cpu_milli,
              std::optional<owner_record> const& record,
              std::map<std::string, std::int64_t> const& nodes)
{
    auto node = make(name, 1, cpu_milli);
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

TEST_CASE("many small nodes and a few large ones: a large one takes over")
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
