#include "fleet_driver.hpp"

#include "config/merge_files.hpp"
#include "kernel/fleet/budget.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;

namespace
{

constexpr char const* pools_text =
    "pools: {a: {size: 10}, b: {size: 10}, spare: {size: 0, spare: true}}\n"
    "budgets: {a: {need: 5}, b: {need: 5}}\n";

std::string wave_text(std::string const& strategy, std::string const& more = "")
{
    return "waves: {w: {pools: [a, b], strategy: " + strategy + more + "}}\n";
}

driver_options small(std::uint64_t seed)
{
    driver_options options;
    options.seed_ = seed;
    options.vms_ = {12, 8};
    return options;
}

bool all_assigned(fleet_driver const& driver, std::size_t count)
{
    auto const& vms = driver.fleet().vms().all();
    std::size_t serving = 0;
    for (auto const& item : vms)
    {
        serving += item.second.phase_ == vm_phase::serving ? 1 : 0;
    }
    return serving == count;
}

constexpr duration settle = std::chrono::minutes{2};
constexpr duration whole_wave = std::chrono::hours{2};

struct wave_case
{
    char const* strategy_;
    std::uint32_t lost_replies_;
    std::uint32_t doubled_appends_;
    duration read_delay_;
    bool replace_controllers_;
};

} // namespace

TEST_CASE("a wave maintains every VM once, within the budgets")
{
    using std::chrono::milliseconds;
    for (wave_case const& tried : {
             wave_case{"one_at_a_time", 0, 0, milliseconds{0}, false},
             wave_case{"fixed_share", 0, 0, milliseconds{0}, false},
             wave_case{"fewest_moves", 0, 0, milliseconds{0}, false},
             wave_case{"fastest_rollout", 0, 0, milliseconds{0}, false},
             wave_case{"fastest_rollout", 30, 30, milliseconds{1500}, false},
             wave_case{"fastest_rollout", 10, 10, milliseconds{500}, true},
             wave_case{"fewest_moves", 30, 0, milliseconds{0}, true},
         })
    {
        CAPTURE(tried.strategy_);
        driver_options options = small(7);
        options.lost_replies_ = tried.lost_replies_;
        options.doubled_appends_ = tried.doubled_appends_;
        options.read_delay_ = tried.read_delay_;
        fleet_driver driver(options, &merge_files,
                            files_of({{"a.yaml", pools_text}}));
        REQUIRE(driver.run(settle, [&] { return all_assigned(driver, 20); }));
        driver.edit("w.yaml", wave_text(tried.strategy_));
        int steps = 0;
        CHECK(driver.run(whole_wave,
                         [&]
                         {
                             // Dies at a different point of a drain each time.
                             if (tried.replace_controllers_ &&
                                 ++steps % 37 == 0)
                             {
                                 driver.replace_controllers();
                             }
                             return driver.wave_done("w");
                         }));
        CHECK(driver.breaches() == 0);
        CHECK(driver.reboots() == 20);
        CHECK(driver.reboots_of_one_decision() == 1);
        CHECK(driver.moves() == 0);
    }
}

TEST_CASE("a rack that fails in mid-wave stops no pool below its need by plan")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        fleet_driver driver(small(seed), &merge_files,
                            files_of({{"a.yaml", pools_text}}));
        REQUIRE(driver.run(settle, [&] { return all_assigned(driver, 20); }));
        driver.edit("w.yaml", wave_text("fastest_rollout"));
        driver.run(std::chrono::seconds{80 + seed * 7}, [] { return false; });
        driver.fail_rack("dc-1", "rack-1");
        CHECK(driver.run(whole_wave, [&] { return driver.wave_done("w"); }));
        CHECK(driver.breaches() == 0);
    }
}

TEST_CASE("a canary that does not return stops the wave")
{
    fleet_driver driver(small(3), &merge_files,
                        files_of({{"a.yaml", pools_text}}));
    REQUIRE(driver.run(settle, [&] { return all_assigned(driver, 20); }));
    for (auto const& item : driver.fleet().vms().all())
    {
        driver.break_reboot(item.first);
    }
    driver.edit("w.yaml", wave_text("fastest_rollout"));
    CHECK(driver.run(std::chrono::minutes{10},
                     [&]
                     {
                         auto const& stopped =
                             driver.fleet().data().stopped_waves_;
                         return stopped.count(wave_name{"w"}) != 0;
                     }));
    driver.run(std::chrono::minutes{10}, [] { return false; });
    // One canary of each data centre, and no more.
    CHECK(driver.reboots() == 2);
    CHECK(driver.breaches() == 0);
}

TEST_CASE("a drain that does not end in its window is undone, not forced")
{
    fleet_driver driver(small(4), &merge_files,
                        files_of({{"a.yaml", pools_text},
                                  {"b.yaml", "windows: {night: {days: [mon], "
                                             "from: \"22:00\", to: "
                                             "\"23:00\"}}\n"}}));
    // 2026-11-30 was a Monday; 22:50 UTC.
    wall_time const monday{std::chrono::seconds{1796079000}};
    REQUIRE(driver.run(settle, [&] { return all_assigned(driver, 20); }));
    driver.silence_gateways(true);
    driver.set_wall(monday);
    driver.edit("w.yaml", wave_text("fastest_rollout", ", window: night"));
    auto const draining = [&]
    {
        for (auto const& item : driver.fleet().vms().all())
        {
            if (item.second.phase_ == vm_phase::draining)
            {
                return true;
            }
        }
        return false;
    };
    CHECK(driver.run(std::chrono::minutes{1}, draining));
    // The clock jumps past the end.
    driver.set_wall(monday + std::chrono::hours{2});
    CHECK(driver.run(std::chrono::minutes{1},
                     [&] { return all_assigned(driver, 20); }));
    driver.run(std::chrono::minutes{2}, [] { return false; });
    CHECK(driver.reboots() == 0);
    CHECK_FALSE(draining());
}

TEST_CASE("a budget that admits no drain borrows a spare VM and returns it not")
{
    driver_options options = small(5);
    options.vms_ = {8};
    char const* text = "pools: {a: {size: 6}, spare: {size: 2, spare: true}}\n"
                       "budgets: {a: {need: 6, reserve: none}}\n";
    fleet_driver driver(options, &merge_files, files_of({{"a.yaml", text}}));
    REQUIRE(driver.run(settle, [&] { return all_assigned(driver, 8); }));
    CHECK(drain_shortfall(driver.fleet().vms(), driver.intended(),
                          pool_name{"a"}) == 1);
    driver.edit("w.yaml", "waves: {w: {pools: [a, spare]}}\n");
    CHECK(driver.run(whole_wave, [&] { return driver.wave_done("w"); }));
    CHECK(driver.moves() == 1);
    CHECK(driver.breaches() == 0);
}

TEST_CASE("a lagging list or a failed VM causes no storm of moves")
{
    driver_options options = small(6);
    options.vms_ = {20, 8};
    fleet_driver driver(options, &merge_files,
                        files_of({{"a.yaml", pools_text}}));
    REQUIRE(driver.run(settle, [&] { return all_assigned(driver, 28); }));
    driver.fail_rack("dc-1", "rack-0");
    driver.run(std::chrono::minutes{5}, [] { return false; });
    CHECK(driver.moves() == 0);
    auto const entries = driver.entries();
    driver.run(std::chrono::minutes{5}, [] { return false; });
    // Nothing to do costs no appends.
    CHECK(driver.entries() == entries);
    std::uint32_t lost = 0;
    for (auto const& item : driver.fleet().vms().all())
    {
        bool const of_rack = item.second.rack_ == rack_name{"rack-0"} &&
                             item.second.data_centre_.text() == "dc-1";
        lost += of_rack && item.second.pool_ != pool_name{"spare"} ? 1 : 0;
    }
    driver.remove_rack("dc-1", "rack-0");
    driver.run(std::chrono::minutes{5}, [] { return false; });
    CHECK(driver.moves() == lost);
    CHECK(driver.breaches() == 0);
}
