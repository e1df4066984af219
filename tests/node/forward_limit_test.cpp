#include "node/forward_limit.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

using namespace cuminfold;

namespace
{

struct deployment_size
{
    std::size_t nodes_;
    std::size_t calls_per_node_;
};

deployment_size const deployment_sizes[] = {
    {0, 64}, {1, 64}, {3, 64}, {12, 64}, {36, 21}, {100, 7}, {350, 2},
};

/// One connection of each node is for pings.
constexpr std::size_t ping_connections = 1;

} // namespace

TEST_CASE("calls that wait for a new owner are not refused for the number of "
          "their connections")
{
    for (auto const& each : deployment_sizes)
    {
        CAPTURE(each.nodes_);
        CHECK(max_forwarded_calls(each.nodes_) == each.calls_per_node_);
        forward_limit limit;
        limit.set_limit(max_forwarded_calls(each.nodes_));
        std::size_t connections = ping_connections;
        // Hundreds of calls wait at each node.
        for (std::uint64_t call = 0; call < 300; ++call)
        {
            if (limit.try_begin(1))
            {
                ++connections;
            }
            else
            {
                limit.wait(call);
            }
        }
        if (each.nodes_ <= 340)
        {
            CHECK(connections * each.nodes_ <= max_peer_connections);
        }
    }
}

TEST_CASE("calls beyond the limit wait in order until others have ended")
{
    forward_limit limit;
    limit.set_limit(2);
    REQUIRE(limit.try_begin(1));
    REQUIRE(limit.try_begin(1));
    REQUIRE_FALSE(limit.try_begin(1));
    limit.wait(3);
    limit.wait(4);
    CHECK_FALSE(limit.next().has_value());
    limit.ended(1);
    auto const next = limit.next();
    REQUIRE(next.has_value());
    CHECK(next.value_or(0) == 3);
    CHECK(limit.try_begin(1));
    CHECK_FALSE(limit.next().has_value());
}

TEST_CASE("calls to an earlier owner take no turn of the calls to the next one")
{
    forward_limit limit;
    limit.set_limit(1);
    REQUIRE(limit.try_begin(1));
    REQUIRE(limit.try_begin(2));
    // The end of the earlier owner's call frees no connection to the next one.
    limit.ended(1);
    CHECK_FALSE(limit.try_begin(2));
    limit.ended(2);
    CHECK(limit.try_begin(2));
}
