#include "kernel/cell/fleet_plan.hpp"

#include "kernel/cell/fleet_world.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t vm_count = 8;
vm_id const vm{"vm7"};

std::vector<vm_id> last_two()
{
    return {vm_id{"vm6"}, vm};
}

/// The platform's view of a VM that stays, while a wave names it.
struct missing_vm
{
    char const* name_;
    void (*before_wave_)(fleet_world& world);
    void (*after_wave_)(fleet_world& world);
};

constexpr missing_vm missing_vms[] = {
    {"the list is older than the VM, and the platform is silent",
     [](fleet_world& world)
     {
         world.unlisted_.insert(vm);
         world.run_for(1000ms);
         world.is_silent_ = true;
         world.unlisted_.clear();
         world.run_for(2000ms);
     },
     [](fleet_world& world)
     {
         world.run_for(3000ms);
         world.is_silent_ = false;
     }},
    {"a list from before the VM arrives after the wave",
     [](fleet_world& world)
     {
         world.unlisted_.insert(vm);
         world.list_latency_ = 1500ms;
         world.run_for(3000ms);
     },
     [](fleet_world& world) { world.unlisted_.clear(); }},
    {"an earlier wave has seen the VM's name as gone",
     [](fleet_world& world)
     {
         world.unlisted_.insert(vm);
         world.jobs_.owner().on_worker_unlisted(
             world.jobs_.worker(7).entry_.id_, world.jobs_.now());
         world.set_wave(1, {vm, vm_id{"vm5"}}, 1);
         world.rejected_orders_ = 1000;
         world.run_for(6000ms);
         world.rejected_orders_ = 0;
         world.is_silent_ = true;
         world.unlisted_.clear();
     },
     [](fleet_world& world)
     {
         world.run_for(1000ms);
         world.is_silent_ = false;
     }},
    {"two lists miss the VM",
     [](fleet_world& world) { world.unlisted_.insert(vm); },
     [](fleet_world& world)
     {
         world.run_for(800ms);
         world.unlisted_.clear();
     }},
    {"the VM's row is malformed",
     [](fleet_world& world)
     {
         world.unlisted_.insert(vm);
         world.has_malformed_rows_ = true;
     },
     [](fleet_world& world)
     {
         world.run_for(8000ms);
         world.unlisted_.clear();
         world.has_malformed_rows_ = false;
     }},
    {"the list lacks the VM, whose worker is registered",
     [](fleet_world& world) { world.unlisted_.insert(vm); },
     [](fleet_world& world)
     {
         world.run_for(8000ms);
         world.unlisted_.clear();
     }},
    {"the platform rejects the first orders",
     [](fleet_world& world) { world.rejected_orders_ = 3; },
     [](fleet_world&) {}},
};

/// When a VM of the wave is removed from the platform for good.
struct removal
{
    char const* name_;
    std::chrono::milliseconds before_wave_;
    std::chrono::milliseconds after_wave_;
};

constexpr removal removals[] = {
    {"before the wave", 5000ms, 0ms},
    {"as the wave comes", 0ms, 0ms},
    {"during the wave", 0ms, 60ms},
    {"after its order", 0ms, 700ms},
};

} // namespace

// Guards against a wave that is reported as completed without maintenance of a
// VM that a list or an order's answer did not show.
TEST_CASE("a wave maintains a VM that stays before it is completed")
{
    for (auto const& each : missing_vms)
    {
        CAPTURE(std::string(each.name_));
        fleet_world world(vm_count);
        each.before_wave_(world);
        world.set_wave(2, last_two(), 1);
        auto const set = world.jobs_.now();
        each.after_wave_(world);
        while (world.completed_.count(2) == 0 &&
               world.jobs_.now() - set < 60'000ms)
        {
            world.run_for(20ms);
        }
        CHECK(world.completed_.count(2) == 1);
        CHECK(world.ordered_.count(vm) == 1);
        CHECK(world.ordered_.count(vm_id{"vm6"}) == 1);
    }
}

TEST_CASE("a wave is completed although one of its VMs is removed")
{
    for (auto const& each : removals)
    {
        CAPTURE(std::string(each.name_));
        fleet_world world(vm_count);
        auto const remove = [&]
        {
            world.unlisted_.insert(vm);
            world.jobs_.cut(7, true);
            world.jobs_.owner().on_worker_unlisted(
                world.jobs_.worker(7).entry_.id_, world.jobs_.now());
        };
        if (each.before_wave_ > 0ms)
        {
            remove();
            world.run_for(each.before_wave_);
        }
        world.set_wave(2, last_two(), 1);
        world.run_for(each.after_wave_);
        remove();
        world.run_for(20'000ms);
        CHECK(world.completed_.count(2) == 1);
    }
}

// Guards against a second order for a VM whose first one was carried out after
// a list that missed it, and against more VMs down than the wave allows.
TEST_CASE("a list that misses VMs in maintenance does not end their operations")
{
    fleet_world world(vm_count);
    std::vector<vm_id> vms;
    for (std::uint32_t i = 0; i < vm_count; ++i)
    {
        vms.push_back(world.vms_[i].vm_);
    }
    world.set_wave(2, vms, 2);
    for (int i = 0; i < 1500; ++i)
    {
        world.unlisted_.clear();
        if (i % 3 == 0)
        {
            world.unlisted_.insert(vms[static_cast<std::size_t>(i) % vm_count]);
            for (auto const& down : world.down_)
            {
                world.unlisted_.insert(down.first);
            }
        }
        world.run_for(20ms);
    }
    CHECK(world.max_down_ <= 2);
    CHECK(world.ordered_.size() == vm_count);
    CHECK(world.completed_.count(2) == 1);
}
