#include "kernel/registry.hpp"
#include "kernel/request/routing_strategy.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace cuminfold;

TEST_CASE("routing strategies choose only workers that they may load")
{
    // limit, own, others, echoed
    std::vector<worker_view> const workers = {
        {8, 4, 0, false}, {8, 4, 4, true}, {8, 5, 2, true}, {8, 3, 5, true}};
    struct row
    {
        char const* strategy_;
        std::set<std::size_t> chosen_;
    };
    // Two gateways: a fixed share is 4 slots.
    for (auto const& at :
         {row{"round_robin", {0, 1, 2, 3}}, row{"power_of_two", {0, 1, 2, 3}},
          row{"load_echo", {0}}, row{"fixed_share", {3}}})
    {
        CAPTURE(at.strategy_);
        auto const strategy =
            registry<routing_strategy>::instance().find(at.strategy_)();
        std::mt19937_64 random(1);
        std::set<std::size_t> chosen;
        for (int i = 0; i < 200; ++i)
        {
            chosen.insert(strategy->choose(workers, 2, random).value());
        }
        CHECK(chosen == at.chosen_);
    }
}

TEST_CASE("a full pool is left alone; idle slots of others are borrowed")
{
    std::mt19937_64 random(1);
    for (char const* name : {"fixed_share", "load_echo"})
    {
        CAPTURE(name);
        auto const strategy =
            registry<routing_strategy>::instance().find(name)();
        CHECK_FALSE(strategy->choose({{8, 4, 4, true}}, 2, random));
        CHECK(strategy->choose({{8, 6, 0, true}}, 2, random) == std::size_t{0});
    }
}
