#include "kernel/maintenance/wave_progress.hpp"
#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/registry.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

rack_key rack(char const* name)
{
    return {data_centre_name{"dc"}, rack_name{name}};
}

/// Two racks of two VMs each, one VM of each pool in each rack.
wave_view make_view(std::uint32_t returned, std::uint32_t room_a,
                    std::uint32_t room_b)
{
    wave_view view;
    view.total_ = 20;
    view.returned_ = returned;
    view.allowed_disruptions_ = {{pool_name{"a"}, room_a},
                                 {pool_name{"b"}, room_b}};
    for (char const* name : {"r1", "r2"})
    {
        for (char const* pool : {"a", "b"})
        {
            view.candidates_.push_back({vm_id{std::string(name) + pool},
                                        pool_name{pool}, rack(name), false});
        }
    }
    return view;
}

struct strategy_case
{
    char const* strategy_;
    std::uint32_t returned_;
    std::uint32_t room_a_;
    std::uint32_t room_b_;
    std::vector<vm_id> chosen_;
};

std::vector<strategy_case> const& cases()
{
    static std::vector<strategy_case> const table = {
        {"one_at_a_time", 3, 2, 2, {vm_id{"r1a"}}},
        {"fixed_share", 0, 2, 2, {vm_id{"r1a"}, vm_id{"r1b"}}},
        {"fastest_rollout", 0, 2, 2, {vm_id{"r1a"}}},
        {"fastest_rollout", 1, 2, 2, {vm_id{"r1a"}, vm_id{"r1b"}}},
        {"fastest_rollout",
         9,
         2,
         1,
         {vm_id{"r1a"}, vm_id{"r1b"}, vm_id{"r2a"}}},
        {"fastest_rollout", 9, 0, 0, {}},
        {"fewest_moves", 0, 2, 2, {vm_id{"r1a"}}},
        {"fewest_moves", 9, 2, 2, {vm_id{"r1a"}, vm_id{"r1b"}}},
        {"fewest_moves", 9, 0, 1, {vm_id{"r1b"}}},
    };
    return table;
}

} // namespace

TEST_CASE("a strategy takes what the pools can spare, carefully at first")
{
    for (auto const& tried : cases())
    {
        CAPTURE(tried.strategy_);
        CAPTURE(tried.returned_);
        auto const strategy =
            registry<wave_strategy>::instance().find(tried.strategy_)();
        auto const chosen = strategy->propose(
            make_view(tried.returned_, tried.room_a_, tried.room_b_));
        CHECK((chosen == tried.chosen_));
    }
}

TEST_CASE("a wave stops when VMs do not return")
{
    struct stop_case
    {
        std::uint32_t returned_;
        std::uint32_t failed_;
        bool stops_;
    };
    for (auto const& tried : {stop_case{0, 0, false}, stop_case{0, 1, true},
                              stop_case{5, 1, false}, stop_case{5, 2, true},
                              stop_case{20, 2, false}, stop_case{20, 6, true}})
    {
        CAPTURE(tried.returned_);
        CAPTURE(tried.failed_);
        wave_view view;
        view.returned_ = tried.returned_;
        view.failed_ = tried.failed_;
        CHECK(wave_must_stop(view) == tried.stops_);
    }
}
