#include "config/merge_files.hpp"
#include "kernel/config/config_state.hpp"
#include "kernel/fleet/budget.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "property.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfold;

namespace
{

constexpr std::uint32_t vm_count = 12;
constexpr std::uint32_t gateway_count = 3;

std::string const& files_text(std::uint32_t choice)
{
    static std::string const pools =
        "pools: {a: {size: 6}, b: {size: 6}, s: {size: 0, spare: true}}\n";
    static std::vector<std::string> const texts = {
        pools + "budgets: {a: {need: 2}, b: {need: 1, reserve: none}}\n",
        pools + "budgets: {a: {need: 4, reserve: vm}, b: {need: 3}}\n",
        pools + "budgets: {a: {need: 1, reserve: none, max_draining: 1}}\n",
        pools + "budgets: {a: {need: 6}, b: {need: 6}}\n"};
    return texts[choice % texts.size()];
}

/// Applies arbitrary records to a fleet state and checks each change against
/// counts that it computes VM by VM.
class fleet_checker
{
public:
    fleet_checker()
    {
        edit(0);
        for (std::uint32_t i = 0; i < vm_count; ++i)
        {
            write(vm_added{vm_name(i), "127.0.0.1:2",
                           data_centre_name{i < 8 ? "d1" : "d2"},
                           rack_name{"r" + std::to_string(i / 4)},
                           vm_shape{16, 65536, 0, 8, 64}});
            write(vm_assigned{vm_name(i), current(i),
                              pool_name{i % 2 == 0 ? "a" : "b"}, "test"});
        }
        for (std::uint32_t i = 0; i < gateway_count; ++i)
        {
            write_as(gateway(i), registration(i));
        }
    }

    /// Writes the record that `code` encodes.
    void step(std::uint32_t code)
    {
        std::uint32_t const index = (code >> 8U) % vm_count;
        std::uint32_t const extra = code >> 16U;
        vm_id const vm = vm_name(index);
        bool const stale = extra % 16 == 0;
        generation const expected = current(index) - (stale ? 1 : 0);
        switch (code % 18)
        {
        case 0:
        case 1:
        case 2:
            return write(drain_granted{vm, expected, wave_name{"w"}});
        case 3:
        case 4:
        case 5:
            return write(drain_started{vm, expected});
        case 6:
            return write(drain_withdrawn{vm, expected});
        case 7:
            return write(reboot_decided{vm, expected, 1});
        case 8:
            return write(vm_returned{vm, expected});
        case 9:
            return write(vm_health{vm, expected, extra % 2 == 0});
        case 10:
        case 11:
            return write(move_released{
                vm, expected, pool_name{extra % 3 == 0 ? "s" : "a"}, "test"});
        case 12:
            return write(move_assigned{vm, expected});
        case 13:
            return write(move_cancelled{vm, expected});
        case 14:
            return acknowledge(index, extra);
        case 15:
            return write(data_centre_heard{
                data_centre_name{extra % 2 == 0 ? "d1" : "d2"},
                (extra / 2) % 2 == 0});
        case 16:
            return register_again(extra);
        default:
            return change(index, extra);
        }
    }

private:
    struct seen_vm
    {
        vm_entry entry_;
        std::set<incarnation> required_acks_;
    };

    static vm_id vm_name(std::uint32_t index)
    {
        return vm_id{"vm-" + std::to_string(index)};
    }

    incarnation gateway(std::uint32_t index) const
    {
        auto const found = incarnations_.find(index);
        return {node_id{"g" + std::to_string(index)},
                found == incarnations_.end() ? 1 : found->second};
    }

    static gateway_registered registration(std::uint32_t index)
    {
        return {data_centre_name{index < 2 ? "d1" : "d2"}, "127.0.0.1:1"};
    }

    generation current(std::uint32_t index) const
    {
        vm_entry const* vm = fleet_.vms().find(vm_name(index));
        return vm == nullptr ? 0 : vm->generation_;
    }

    void acknowledge(std::uint32_t index, std::uint32_t extra)
    {
        vm_entry const* vm = fleet_.vms().find(vm_name(index));
        if (vm != nullptr)
        {
            incarnation const who = gateway(extra % gateway_count);
            required_acks_[vm->vm_].erase(who);
            write_as(who, vm_acknowledged{vm->vm_, vm->released_});
        }
    }

    /// Registers the same incarnation again, or a new one that holds no
    /// request.
    void register_again(std::uint32_t extra)
    {
        std::uint32_t const index = extra % gateway_count;
        if ((extra / gateway_count) % 2 == 0)
        {
            for (auto& item : required_acks_)
            {
                item.second.erase(gateway(index));
            }
            incarnations_[index] = gateway(index).number_ + 1;
        }
        write_as(gateway(index), registration(index));
    }

    void change(std::uint32_t index, std::uint32_t extra)
    {
        if (extra % 3 != 0)
        {
            edit(extra);
            return;
        }
        vm_entry const* vm = fleet_.vms().find(vm_name(index));
        if (vm != nullptr && (extra / 3) % 4 == 0)
        {
            write(vm_removed{vm->vm_, vm->generation_});
        }
    }

    void edit(std::uint32_t choice)
    {
        config_change edit;
        edit.edits_.push_back({file_name{"a.yaml"}, false, files_text(choice),
                               config_.version()});
        log_offset const offset = config_.next();
        config_.apply(
            {offset,
             {{{operator_, offset + 1}, record_version, no_offset, edit}}});
    }

    void write(record_body body)
    {
        write_as(writer_, std::move(body));
    }

    void write_as(incarnation const& who, record_body body)
    {
        auto const before = fleet_.vms().all();
        auto const unreachable = fleet_.vms().unreachable();
        record const item{{who, ++sequences_[who]},
                          record_version,
                          config_.version(),
                          std::move(body)};
        RC_ASSERT(fleet_.apply({fleet_.next(), {item}}, config_));
        check(item, before, unreachable);
        auto const once = fleet_.vms().all().size();
        // A duplicate of a record has no effect.
        RC_ASSERT(fleet_.apply({fleet_.next(), {item}}, config_));
        RC_ASSERT(fleet_.vms().all().size() == once);
    }

    using vm_map = std::map<vm_id, vm_entry>;
    using data_centre_set = std::set<data_centre_name>;

    static std::uint32_t count_available(vm_map const& vms,
                                         data_centre_set const& unreachable,
                                         pool_name const& pool)
    {
        std::uint32_t count = 0;
        for (auto const& item : vms)
        {
            vm_entry const& vm = item.second;
            bool const works = vm.phase_ == vm_phase::serving ||
                               vm.phase_ == vm_phase::granted;
            count += vm.pool_ == pool && works && !vm.down_ &&
                             unreachable.count(vm.data_centre_) == 0
                         ? 1
                         : 0;
        }
        return count;
    }

    void check(record const& item, vm_map const& before,
               data_centre_set const& unreachable)
    {
        vm_map const& after = fleet_.vms().all();
        for (auto const& known : after)
        {
            vm_entry const& vm = known.second;
            auto const old = before.find(known.first);
            RC_ASSERT(vm.pool_.empty() == (vm.phase_ == vm_phase::unassigned));
            if (old != before.end() && old->second.phase_ != vm.phase_)
            {
                check_step(old->second, vm);
            }
        }
        check_capacity_kept(item, before, unreachable);
        check_usages();
    }

    void check_step(vm_entry const& old, vm_entry const& vm)
    {
        bool const stops =
            vm.phase_ == vm_phase::draining || vm.phase_ == vm_phase::releasing;
        if (stops)
        {
            if (!vm.down_)
            {
                RC_ASSERT(count_available(fleet_.vms().all(),
                                          fleet_.vms().unreachable(),
                                          vm.pool_) >= need_of(vm.pool_));
            }
            required_acks_[vm.vm_].clear();
            for (std::uint32_t i = 0; i < gateway_count; ++i)
            {
                if (registration(i).data_centre_ == vm.data_centre_)
                {
                    required_acks_[vm.vm_].insert(gateway(i));
                }
            }
        }
        if (vm.phase_ == vm_phase::granted || vm.phase_ == vm_phase::releasing)
        {
            check_admitted(vm);
        }
        if (vm.phase_ == vm_phase::rebooting || old.pool_ != vm.pool_)
        {
            RC_ASSERT(old.pool_.empty() || required_acks_[vm.vm_].empty());
        }
    }

    std::uint32_t need_of(pool_name const& pool) const
    {
        auto const& budgets = config_.current()->budgets_;
        auto const found = budgets.find(pool);
        return found == budgets.end() ? 0 : found->second.need_;
    }

    /// Checks the pool's need after each failure that the reserve covers.
    void check_admitted(vm_entry const& leaving) const
    {
        auto const& budgets = config_.current()->budgets_;
        auto const found = budgets.find(leaving.pool_);
        if (found == budgets.end())
        {
            return;
        }
        std::vector<vm_entry> rest;
        std::uint32_t leaving_count = 0;
        for (auto const& item : fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.pool_ != leaving.pool_)
            {
                continue;
            }
            leaving_count += vm.phase_ != vm_phase::serving ? 1 : 0;
            if (vm.phase_ == vm_phase::serving && !vm.down_ &&
                fleet_.vms().unreachable().count(vm.data_centre_) == 0)
            {
                rest.push_back(vm);
            }
        }
        std::uint32_t const bound = found->second.max_draining_;
        RC_ASSERT(bound == 0 || leaving_count <= bound);
        if (leaving.down_)
        {
            return;
        }
        RC_ASSERT(rest.size() >= found->second.need_);
        for (auto const& lost : rest)
        {
            std::uint32_t kept = 0;
            for (auto const& vm : rest)
            {
                bool const same_rack = vm.rack_ == lost.rack_ &&
                                       vm.data_centre_ == lost.data_centre_;
                bool const fails =
                    found->second.reserve_ == reserve_kind::rack
                        ? same_rack
                        : found->second.reserve_ == reserve_kind::vm &&
                              vm.vm_ == lost.vm_;
                kept += fails ? 0 : 1;
            }
            RC_ASSERT(kept >= found->second.need_);
        }
    }

    /// Checks that only a removal, a failure of a VM or data centre, a drain
    /// start or a release reduces a pool's available VMs.
    void check_capacity_kept(record const& item, vm_map const& before,
                             data_centre_set const& unreachable) const
    {
        auto const& body = item.body_;
        if (std::holds_alternative<vm_removed>(body) ||
            std::holds_alternative<vm_health>(body) ||
            std::holds_alternative<data_centre_heard>(body) ||
            std::holds_alternative<drain_started>(body) ||
            std::holds_alternative<move_released>(body))
        {
            return;
        }
        for (auto const* name : {"a", "b", "s"})
        {
            pool_name const pool{name};
            RC_ASSERT(count_available(fleet_.vms().all(),
                                      fleet_.vms().unreachable(), pool) >=
                      count_available(before, unreachable, pool));
        }
    }

    void check_usages() const
    {
        std::map<pool_name, std::uint32_t> members;
        std::map<pool_name, std::uint32_t> leaving_count;
        for (auto const& item : fleet_.vms().all())
        {
            ++members[item.second.pool_];
            leaving_count[item.second.pool_] +=
                item.second.phase_ != vm_phase::serving ? 1 : 0;
        }
        for (auto const* name : {"a", "b", "s"})
        {
            pool_usage const& usage = fleet_.vms().usage(pool_name{name});
            RC_ASSERT(usage.members_ == members[pool_name{name}]);
            RC_ASSERT(usage.leaving_ == leaving_count[pool_name{name}]);
        }
    }

    incarnation writer_{node_id{"w"}, 1};
    incarnation operator_{node_id{"o"}, 1};
    std::map<incarnation, std::uint64_t> sequences_;
    std::map<std::uint32_t, std::uint64_t> incarnations_;
    std::map<vm_id, std::set<incarnation>> required_acks_;
    config_state config_{&merge_files};
    fleet_state fleet_;
};

} // namespace

TEST_CASE("no sequence of records lets a planned stop violate a budget")
{
    check_property(
        "planned stops keep the budgets",
        []
        {
            auto const codes = *rc::gen::scale(
                6.0, rc::gen::container<std::vector<std::uint32_t>>(
                         rc::gen::inRange<std::uint32_t>(0, 0xffffffffU)));
            fleet_checker checker;
            for (std::uint32_t const code : codes)
            {
                checker.step(code);
            }
        });
}
