#include "config/merge_files.hpp"
#include "kernel/config/config_state.hpp"
#include "kernel/fleet/fleet_state.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace cuminfold;

namespace
{

constexpr char const* files_text = "pools: {a: {size: 4}, b: {size: 4}}\n"
                                   "budgets: {a: {need: 1, reserve: none}}\n";

/// A fleet state with one writer, one gateway and two VMs in pool `a`.
struct fixture
{
    fixture()
    {
        config_change change;
        change.edits_.push_back(
            {file_name{"a.yaml"}, false, files_text, no_offset});
        config_.apply({0, {{{writer_, 1}, record_version, no_offset, change}}});
        REQUIRE(config_.version() == 0);
        write(gateway_registered{data_centre_name{"dc"}, "127.0.0.1:1"});
        for (auto const* name : {"vm-1", "vm-2"})
        {
            write(vm_added{vm_id{name}, "127.0.0.1:2", data_centre_name{"dc"},
                           rack_name{"r"}, vm_shape{16, 65536, 0, 8, 64}});
            write(vm_assigned{vm_id{name}, generation_of(name), pool_name{"a"},
                              "test"});
        }
    }

    void write(record_body body)
    {
        record item{{writer_, sequence_++}, record_version, 0, std::move(body)};
        REQUIRE(fleet_.apply({fleet_.next(), {item}}, config_));
    }

    generation generation_of(std::string const& name) const
    {
        return fleet_.vms().find(vm_id{name})->generation_;
    }

    vm_entry const& vm(std::string const& name) const
    {
        return *fleet_.vms().find(vm_id{name});
    }

    incarnation writer_{node_id{"w"}, 1};
    std::uint64_t sequence_ = 1;
    config_state config_{&merge_files};
    fleet_state fleet_;
};

} // namespace

TEST_CASE("a move waits for the gateway's acknowledgement")
{
    fixture f;
    f.write(move_released{vm_id{"vm-1"}, f.generation_of("vm-1"),
                          pool_name{"b"}, "test"});
    REQUIRE(f.vm("vm-1").phase_ == vm_phase::releasing);
    f.write(move_assigned{vm_id{"vm-1"}, f.generation_of("vm-1")});
    CHECK(f.vm("vm-1").pool_ == pool_name{"a"});
    f.write(vm_acknowledged{vm_id{"vm-1"}, f.vm("vm-1").released_});
    f.write(move_assigned{vm_id{"vm-1"}, f.generation_of("vm-1")});
    CHECK(f.vm("vm-1").pool_ == pool_name{"b"});
    CHECK(f.fleet_.vms().usage(pool_name{"a"}).members_ == 1);
    CHECK(f.fleet_.vms().usage(pool_name{"b"}).members_ == 1);
}

TEST_CASE("a drain is granted only within the budget")
{
    fixture f;
    f.write(
        drain_granted{vm_id{"vm-1"}, f.generation_of("vm-1"), wave_name{"w"}});
    CHECK(f.vm("vm-1").phase_ == vm_phase::granted);
    f.write(
        drain_granted{vm_id{"vm-2"}, f.generation_of("vm-2"), wave_name{"w"}});
    CHECK(f.vm("vm-2").phase_ == vm_phase::serving);
    CHECK(f.fleet_.ignored(reason::budget_exhausted) == 1);
}

TEST_CASE("a fleet entry waits for the configuration that it refers to")
{
    fixture f;
    record item{{f.writer_, f.sequence_},
                record_version,
                7,
                vm_removed{vm_id{"vm-1"}, f.generation_of("vm-1")}};
    CHECK_FALSE(f.fleet_.apply({f.fleet_.next(), {item}}, f.config_));
    CHECK(f.fleet_.vms().find(vm_id{"vm-1"}) != nullptr);
}

TEST_CASE("a drain does not start if its pool lost VMs after the grant")
{
    fixture f;
    f.write(
        drain_granted{vm_id{"vm-1"}, f.generation_of("vm-1"), wave_name{"w"}});
    f.write(vm_health{vm_id{"vm-2"}, f.generation_of("vm-2"), false});
    f.write(drain_started{vm_id{"vm-1"}, f.generation_of("vm-1")});
    CHECK(f.vm("vm-1").phase_ == vm_phase::granted);
    CHECK(f.fleet_.ignored(reason::budget_exhausted) == 1);
    f.write(vm_health{vm_id{"vm-2"}, f.generation_of("vm-2"), true});
    f.write(drain_started{vm_id{"vm-1"}, f.generation_of("vm-1")});
    CHECK(f.vm("vm-1").phase_ == vm_phase::draining);
}

TEST_CASE("a gateway that registers again must still acknowledge a release")
{
    fixture f;
    f.write(move_released{vm_id{"vm-1"}, f.generation_of("vm-1"),
                          pool_name{"b"}, "test"});
    f.write(gateway_registered{data_centre_name{"dc"}, "127.0.0.1:1"});
    f.write(move_assigned{vm_id{"vm-1"}, f.generation_of("vm-1")});
    CHECK(f.vm("vm-1").pool_ == pool_name{"a"});
}
