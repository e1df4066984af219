#include "kernel/cell/pool_plan.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace cuminfold;

namespace
{

pool_load make_load(std::string const& name, std::uint32_t workers,
                    std::uint32_t free, double rate, double backlog = 0)
{
    pool_load load;
    load.pool_ = pool_name{name};
    load.workers_ = workers;
    load.rate_ = rate;
    load.backlog_ = backlog;
    for (std::uint32_t i = 0; i < free; ++i)
    {
        load.free_.push_back(vm_id{name + std::to_string(i)});
    }
    return load;
}

std::size_t moves_to(std::vector<planned_move> const& moves,
                     std::string const& pool)
{
    return static_cast<std::size_t>(std::count_if(
        moves.begin(), moves.end(),
        [&](planned_move const& move) { return move.to_.text() == pool; }));
}

} // namespace

TEST_CASE("a pool with five times its mean demand gets the idle VMs")
{
    auto const moves =
        plan_moves({make_load("busy", 9, 0, 20), make_load("idle", 11, 9, 0.2),
                    make_load("other", 12, 10, 0.2)});
    CHECK(moves_to(moves, "busy") > 10);
    CHECK(moves_to(moves, "idle") == 0);
}

TEST_CASE("two pools share VMs that cover neither target")
{
    auto const moves =
        plan_moves({make_load("huge", 30, 0, 500), make_load("large", 5, 0, 80),
                    make_load("idle", 60, 50, 0.2)});
    CHECK(moves_to(moves, "huge") > 10);
    CHECK(moves_to(moves, "large") > 5);
}

TEST_CASE("standby VMs are moved before those of a serving pool")
{
    auto standby = make_load("spare", 3, 3, 0);
    standby.standby_ = true;
    auto const moves = plan_moves(
        {make_load("busy", 4, 0, 4), standby, make_load("idle", 9, 8, 0)});
    REQUIRE(moves.size() >= 3);
    CHECK(moves[0].from_ == pool_name{"spare"});
    CHECK(moves[2].from_ == pool_name{"spare"});
}

TEST_CASE("a pool after a surge releases workers with late work only")
{
    auto over = make_load("over", 24, 0, 0, 0);
    over.late_backlog_ = 30;
    for (int i = 0; i < 20; ++i)
    {
        over.emptying_.push_back(vm_id{"over" + std::to_string(i)});
    }
    auto const moves = plan_moves({make_load("busy", 7, 0, 30, 20), over});
    CHECK(moves_to(moves, "busy") >= 15);
}

TEST_CASE("workers with long-running tasks stay in their pool")
{
    auto load = make_load("serving", 5, 0, 0);
    load.fixed_ = 5;
    CHECK(target_workers(load) == 5);
    CHECK(plan_moves({make_load("busy", 3, 0, 30), load}).empty());
}
