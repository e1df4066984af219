#include "kernel/controller/controller_kernel.hpp"

#include "kernel/controller/controller_net.hpp"
#include "kernel/hash.hpp"
#include "kernel/streams.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

std::string pools_text(std::uint32_t size)
{
    return "pools: {a: {size: " + std::to_string(size) + "}}\n";
}

std::uint64_t digest(controller_kernel const& kernel)
{
    return stable_hash(kernel.view().encode(fleet_stream()),
                       stable_hash(kernel.view().encode(config_stream())));
}

/// Three controllers in data centre `a`, one in `b`, and one reader each at two
/// of them.
controller_net make_net()
{
    controller_net net;
    net.add_controller("a1", "a");
    net.add_controller("a2", "a");
    net.add_controller("a3", "a");
    net.add_controller("b1", "b");
    net.add_reader("g1", "a1");
    net.add_reader("g2", "a2");
    net.run(seconds{2});
    return net;
}

bool in_force_everywhere(controller_net& net, log_offset version)
{
    for (auto const& [name, node] : net.nodes_)
    {
        auto const& config =
            node.kernel_ ? node.kernel_->config() : node.reader_->config();
        if (config.version() != version)
        {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("a change is in force at controllers and readers, and confirmed")
{
    auto net = make_net();
    net.change("a1", 1, "a.yaml", pools_text(3), no_offset);
    net.run_until([&] { return in_force_everywhere(net, 0); }, seconds{5});
    CHECK(in_force_everywhere(net, 0));
    REQUIRE(net.replies_.count(1) == 1);
    CHECK(net.replies_[1].outcome_.accepted_);
    net.run(seconds{2});
    for (auto const* at : {"a1", "a2", "b1"})
    {
        for (auto const* of : {"a1", "a2", "a3", "b1"})
        {
            CAPTURE(at);
            CAPTURE(of);
            auto const& members = net.kernel(at).members().members();
            REQUIRE(members.count(node_id{of}) == 1);
            CHECK(members.at(node_id{of}).config_next_ == 1);
        }
    }
}

TEST_CASE("a controller without the log reads and appends through a peer")
{
    auto net = make_net();
    net.nodes_["a1"].reaches_log_ = false;
    net.nodes_["b1"].reaches_log_ = false;
    net.run(seconds{3});
    net.change("a1", 1, "a.yaml", pools_text(3), no_offset);
    net.run(seconds{3});
    REQUIRE(net.replies_.count(1) == 1);
    CHECK(net.replies_[1].outcome_.accepted_);
    CHECK(net.kernel("a1").config().version() == 0);
    CHECK(net.nodes_["g1"].reader_->config().version() == 0);
    // `b1` is alone in its data centre, so a controller of `a` relays for it.
    CHECK(net.kernel("b1").config().version() == 0);
    // With the log down for all nodes, each keeps its state.
    net.log_down_ = true;
    net.run(seconds{5});
    net.change("a1", 2, "a.yaml", pools_text(4), 0);
    net.run(seconds{15});
    REQUIRE(net.replies_.count(2) == 1);
    CHECK(net.replies_[2].unknown_);
    CHECK(in_force_everywhere(net, 0));
}

TEST_CASE("readers of one controller share its log reads")
{
    auto net = make_net();
    for (int i = 0; i < 8; ++i)
    {
        net.add_reader("r" + std::to_string(i), "a1");
    }
    net.run(seconds{2});
    auto const before = net.platform_reads_;
    net.run(seconds{10});
    // Each of the four controllers keeps four long polls of 500 ms open, which
    // makes at most 21 reads each in 10 s. Readers add none.
    CHECK(net.platform_reads_ - before <= 4 * 4 * 21);
    net.change("a2", 1, "a.yaml", pools_text(3), no_offset);
    net.run(seconds{1});
    CHECK(in_force_everywhere(net, 0));
}

TEST_CASE(
    "a relayed read reports that the log is down and is not relayed again")
{
    auto net = make_net();
    net.log_down_ = true;
    net.run(seconds{10});
    CHECK_FALSE(net.nodes_["g1"].reader_->log_reachable());
    CHECK(net.nodes_["g1"].reader_->known());
    net.log_down_ = false;
    net.run(seconds{6});
    CHECK(net.nodes_["g1"].reader_->log_reachable());
}

TEST_CASE("with all entry VMs replaced at once, controllers recover from the "
          "log alone")
{
    controller_net net;
    net.snapshot_entries_ = 20;
    net.add_controller("a1", "a");
    net.add_controller("a2", "a");
    net.run(seconds{2});
    for (std::uint32_t i = 0; i < 60; ++i)
    {
        net.change("a1", i, "a.yaml", pools_text(i + 1),
                   i == 0 ? no_offset : log_offset{i - 1});
        net.run(milliseconds{400});
    }
    net.run(seconds{60});
    REQUIRE(net.logs_[config_stream()].end() == 60);
    auto const last = net.kernel("a1").view().config_follower().last_snapshot();
    REQUIRE(last);
    CHECK(*last >= 20);
    auto const before = digest(net.kernel("a1"));
    net.logs_[config_stream()].drop_before(*last);
    net.remove("a1");
    net.remove("a2");
    net.add_controller("c1", "a");
    net.add_controller("c2", "a");
    CHECK_FALSE(net.kernel("c1").ready());
    net.run(seconds{5});
    CHECK(net.kernel("c1").ready());
    CHECK(net.kernel("c2").ready());
    CHECK(digest(net.kernel("c1")) == before);
    CHECK(digest(net.kernel("c2")) == before);
}

TEST_CASE("a new controller restores its peers' state while the log is down")
{
    auto net = make_net();
    net.change("a1", 1, "a.yaml", pools_text(3), no_offset);
    net.run(seconds{2});
    net.log_down_ = true;
    net.add_controller("a4", "a");
    net.add_controller("c1", "c");
    net.run(seconds{6});
    CHECK(net.kernel("a4").ready());
    CHECK(net.kernel("a4").config().version() == 0);
    CHECK(digest(net.kernel("a4")) == digest(net.kernel("a1")));
    // It is the only controller of data centre `c`, so no peer there can send
    // the state.
    CHECK_FALSE(net.kernel("c1").ready());
}

TEST_CASE("a kind with a newer version is counted and no longer proposed")
{
    controller_net net;
    net.duties_ = {"log_relay", "snapshots", "vm_intake"};
    net.snapshot_entries_ = 1;
    net.add_controller("a1", "a");
    net.run(seconds{2});
    record newer{{{node_id{"x"}, 1}, 1},
                 record_version + 1,
                 no_offset,
                 unknown_body{"vm_added", record_version + 1}};
    net.logs_[fleet_stream()].append({newer});
    net.run(seconds{2});
    vm_list list;
    list.version_ = 1;
    listed_vm vm;
    vm.vm_ = vm_id{"vm-1"};
    vm.data_centre_ = data_centre_name{"a"};
    list.vms_.push_back(vm);
    net.post("a1", list, duration{0});
    net.run(seconds{3});
    CHECK(net.counts_[reason::record_unknown_kind] != 0);
    CHECK(net.logs_[fleet_stream()].end() == 1);
    // The state may lack what the unknown record changed, so no snapshot of it
    // is written.
    CHECK(net.logs_[snapshot_stream(fleet_stream())].end() == 0);
}

TEST_CASE("contradictory entries of the VM list are ignored")
{
    struct row
    {
        char const* what_;
        listed_state second_;
        bool added_;
    };
    for (auto const& row :
         {row{"the same entry twice", listed_state::live, true},
          row{"live and gone", listed_state::gone, false},
          row{"live and leaving", listed_state::leaving, false}})
    {
        CAPTURE(row.what_);
        controller_net net;
        net.duties_ = {"vm_intake"};
        net.add_controller("a1", "a");
        net.run(seconds{2});
        vm_list list;
        list.version_ = 1;
        listed_vm vm;
        vm.vm_ = vm_id{"vm-1"};
        vm.data_centre_ = data_centre_name{"a"};
        list.vms_.push_back(vm);
        vm.state_ = row.second_;
        list.vms_.push_back(vm);
        net.post("a1", list, duration{0});
        net.run(seconds{2});
        CHECK((net.kernel("a1").fleet().vms().find(vm_id{"vm-1"}) != nullptr) ==
              row.added_);
    }
}

TEST_CASE("a gateway whose VM is gone is removed and no longer delays moves")
{
    struct row
    {
        char const* what_;
        listed_state state_;
        char const* other_;
        bool left_;
    };
    for (auto const& row :
         {row{"gone", listed_state::gone, "10.0.0.2:1", true},
          row{"leaving", listed_state::leaving, "10.0.0.2:1", false},
          row{"another entry VM has the address", listed_state::gone,
              "10.0.0.1:9", false}})
    {
        CAPTURE(row.what_);
        controller_net net;
        net.duties_ = {"vm_intake"};
        net.add_controller("a1", "a");
        net.logs_[fleet_stream()].append(
            {{{{node_id{"g"}, 1}, 1},
              record_version,
              no_offset,
              gateway_registered{data_centre_name{"a"}, "10.0.0.1:1"}}});
        net.run(seconds{2});
        vm_list list;
        list.version_ = 1;
        listed_vm vm;
        vm.vm_ = vm_id{"entry-1"};
        vm.address_ = "10.0.0.1:0";
        vm.data_centre_ = data_centre_name{"a"};
        vm.entry_ = true;
        vm.state_ = row.state_;
        list.vms_.push_back(vm);
        vm.vm_ = vm_id{"entry-2"};
        vm.address_ = row.other_;
        vm.state_ = listed_state::live;
        list.vms_.push_back(vm);
        net.post("a1", list, duration{0});
        net.run(seconds{2});
        CHECK(net.kernel("a1").fleet().gateways().all().empty() == row.left_);
    }
}

TEST_CASE(
    "a data centre is recorded as unheard after silence, and as heard again")
{
    controller_net net;
    net.duties_ = {"log_relay", "data_centre_watch"};
    net.add_controller("a1", "a");
    net.add_controller("b1", "b");
    net.run(seconds{3});
    data_centre_name const b{"b"};
    auto stopped = std::move(net.nodes_["b1"]);
    net.nodes_.erase("b1");
    net.run(seconds{20});
    CHECK(net.kernel("a1").fleet().vms().unreachable().count(b) == 0);
    net.run(seconds{20});
    CHECK(net.kernel("a1").fleet().vms().unreachable().count(b) == 1);
    CHECK(net.logs_[fleet_stream()].end() == 1);
    net.nodes_["b1"] = std::move(stopped);
    net.run(seconds{3});
    CHECK(net.kernel("a1").fleet().vms().unreachable().count(b) == 1);
    net.run(seconds{8});
    CHECK(net.kernel("a1").fleet().vms().unreachable().count(b) == 0);
}
