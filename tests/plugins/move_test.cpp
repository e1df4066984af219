#include "fleet_driver.hpp"

#include "config/merge_files.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace cuminfold;

namespace
{

std::string pools_text(std::uint32_t size, std::uint32_t need)
{
    return "pools: {a: {size: " + std::to_string(size) +
           "}, b: {size: 4}, spare: {size: 0, spare: true}}\n"
           "budgets: {a: {need: " +
           std::to_string(need) + ", reserve: none}, b: {need: 4}}\n";
}

driver_options eight_vms(std::uint64_t seed)
{
    driver_options options;
    options.seed_ = seed;
    options.vms_ = {8, 4};
    return options;
}

std::uint32_t members(fleet_driver const& driver, char const* pool)
{
    return driver.fleet().vms().usage(pool_name{pool}).members_;
}

std::size_t count_phase(fleet_driver const& driver, vm_phase phase)
{
    auto const& vms = driver.fleet().vms().all();
    return static_cast<std::size_t>(std::count_if(
        vms.begin(), vms.end(),
        [&](auto const& item) { return item.second.phase_ == phase; }));
}

/// A fleet with four VMs in each of the pools `a`, `b` and `spare`.
fleet_driver make_settled(std::uint64_t seed)
{
    return {eight_vms(seed), &merge_files,
            files_of({{"a.yaml", pools_text(4, 2)}})};
}

constexpr duration settle = std::chrono::minutes{2};
constexpr duration moved = std::chrono::minutes{5};

} // namespace

TEST_CASE("a pool that grows takes as many spare VMs as it lacks")
{
    for (bool const replace : {false, true})
    {
        CAPTURE(replace);
        fleet_driver driver = make_settled(11);
        REQUIRE(
            driver.run(settle, [&] { return members(driver, "spare") == 4; }));
        driver.edit("a.yaml", pools_text(7, 2));
        int steps = 0;
        CHECK(driver.run(moved,
                         [&]
                         {
                             // The planner dies at a different step each time.
                             if (replace && ++steps % 17 == 0)
                             {
                                 driver.replace_controllers();
                             }
                             return members(driver, "a") == 7;
                         }));
        driver.run(settle, [] { return false; });
        CHECK(driver.moves() == 3);
        CHECK(members(driver, "b") == 4);
        CHECK(members(driver, "spare") == 1);
        CHECK(driver.breaches() == 0);
    }
}

TEST_CASE("a gateway that never answers blocks a move and nothing else")
{
    fleet_driver driver = make_settled(12);
    REQUIRE(driver.run(settle, [&] { return members(driver, "spare") == 4; }));
    driver.silence_gateways(true);
    driver.edit("a.yaml", pools_text(5, 2));
    CHECK(driver.run(
        moved, [&] { return count_phase(driver, vm_phase::releasing) == 1; }));
    driver.run(moved, [] { return false; });
    CHECK(driver.moves() == 0);
    CHECK(members(driver, "a") == 4);
    auto const entries = driver.entries();
    driver.run(moved, [] { return false; });
    CHECK(driver.entries() == entries);

    SUBCASE("until it answers")
    {
        driver.silence_gateways(false);
        CHECK(driver.run(moved, [&] { return members(driver, "a") == 5; }));
    }
    SUBCASE("until the move is no longer wanted")
    {
        driver.edit("a.yaml", pools_text(4, 2));
        CHECK(driver.run(
            moved,
            [&] { return count_phase(driver, vm_phase::releasing) == 0; }));
        CHECK(members(driver, "spare") == 4);
    }
    CHECK(driver.moves() <= 1);
}

TEST_CASE("a move tells its reason")
{
    fleet_driver driver = make_settled(13);
    REQUIRE(driver.run(settle, [&] { return members(driver, "spare") == 4; }));
    driver.edit("a.yaml", pools_text(5, 2));
    REQUIRE(driver.run(moved, [&] { return members(driver, "a") == 5; }));
    std::string told;
    for (auto const& item : driver.fleet().vms().all())
    {
        for (auto const& event : item.second.history_)
        {
            told += event.what_ + "\n";
        }
    }
    CHECK(told.find("released for a: pool lacks it") != std::string::npos);
    CHECK(told.find("moved to a") != std::string::npos);
}

TEST_CASE("a need that rises in mid-wave takes no drain further down")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        fleet_driver driver = make_settled(seed);
        REQUIRE(
            driver.run(settle, [&] { return members(driver, "spare") == 4; }));
        driver.edit("w.yaml",
                    "waves: {w: {pools: [a], strategy: fastest_rollout}}\n");
        driver.run(std::chrono::seconds{3 + 20 * seed}, [] { return false; });
        driver.edit("a.yaml", pools_text(4, 4));
        // The pool can spare none now, and borrows one VM for the wave.
        CHECK(driver.run(std::chrono::hours{1},
                         [&]
                         {
                             auto const& vms = driver.fleet().vms().all();
                             return std::all_of(
                                 vms.begin(), vms.end(),
                                 [](auto const& item)
                                 {
                                     vm_entry const& vm = item.second;
                                     return vm.pool_ != pool_name{"a"} ||
                                            vm.maintained_.size() == 1;
                                 });
                         }));
        CHECK(driver.breaches() == 0);
        CHECK(driver.moves() <= 2);
    }
}
