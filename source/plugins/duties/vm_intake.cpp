#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/registry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cuminfold
{

namespace
{

/// Polls the platform's list of VMs and records VMs of the local data centre
/// that appear or are gone.
class vm_intake : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (std::holds_alternative<vm_list>(event))
        {
            requested_at_.reset();
        }
        if (!std::holds_alternative<tick>(event))
        {
            return;
        }
        request_list(context);
        if (!context.ready_ || context.rank("vm-intake") != 0)
        {
            return;
        }
        auto const lines = count_distinct_lines(context.list_);
        for (auto const& listed : context.list_.vms_)
        {
            // Contradictory lines do not show the state of their VM, so it is
            // left unchanged.
            bool const consistent = lines.at(listed.vm_) == 1;
            if (consistent &&
                listed.data_centre_ == context.settings_.data_centre_ &&
                !listed.entry_)
            {
                record_vm(context, listed);
            }
        }
        record_lost_gateways(context);
    }

private:
    /// Requests the list once in each interval, and after three intervals if a
    /// request has not been answered.
    void request_list(duty_context& context)
    {
        auto const& interval = context.settings_.list_interval_;
        if (!requested_at_ || context.now_ - *requested_at_ >= 3 * interval)
        {
            if (context.now_ - last_request_ >= interval)
            {
                requested_at_ = context.now_;
                last_request_ = context.now_;
                context.actions_.emplace_back(list_vms{});
            }
        }
    }

    /// Counts each VM's first line and the lines that differ from it.
    static std::map<vm_id, std::uint32_t>
    count_distinct_lines(vm_list const& list)
    {
        std::map<vm_id, listed_vm const*> first;
        std::map<vm_id, std::uint32_t> lines;
        for (auto const& listed : list.vms_)
        {
            auto const [it, inserted] = first.emplace(listed.vm_, &listed);
            lines[listed.vm_] +=
                inserted || !is_same(*it->second, listed) ? 1 : 0;
        }
        return lines;
    }

    static bool is_same(listed_vm const& a, listed_vm const& b)
    {
        return a.state_ == b.state_ && a.entry_ == b.entry_ &&
               a.address_ == b.address_ && a.rack_ == b.rack_ &&
               a.data_centre_ == b.data_centre_ && a.shape_ == b.shape_;
    }

    static std::string host_of(std::string const& address)
    {
        return address.substr(0, address.rfind(':'));
    }

    /// Returns true if the list shows a gateway's VM as gone. Entry VMs are
    /// matched by the gateway's name or by the host of its address; if any
    /// match is not gone, the result is false.
    static bool is_vm_gone(vm_list const& list, gateway_entry const& gateway)
    {
        bool gone = false;
        for (auto const& listed : list.vms_)
        {
            bool const matches =
                listed.vm_.text() == gateway.gateway_.node_.text() ||
                host_of(listed.address_) == host_of(gateway.address_);
            if (!listed.entry_ || !matches)
            {
                continue;
            }
            if (listed.state_ != listed_state::gone)
            {
                return false;
            }
            gone = true;
        }
        return gone;
    }

    /// Records gateways whose VM is gone as left, so that moves and drains do
    /// not wait for their acknowledgement.
    void record_lost_gateways(duty_context& context)
    {
        for (auto const& item : context.fleet_.gateways().all())
        {
            gateway_entry const& gateway = item.second;
            std::string const name = "gateway " + item.first.text();
            if (gateway.data_centre_ == context.settings_.data_centre_ &&
                is_vm_gone(context.list_, gateway) &&
                !guard_.waits(context.fleet_writer_, name))
            {
                guard_.proposed(name, context.propose(gateway_left{
                                          gateway.gateway_, false}));
            }
        }
    }

    void record_vm(duty_context& context, listed_vm const& listed)
    {
        vm_entry const* known = context.fleet_.vms().find(listed.vm_);
        bool const gone = listed.state_ == listed_state::gone;
        if ((known == nullptr) == gone ||
            guard_.waits(context.fleet_writer_, listed.vm_.text()))
        {
            return;
        }
        record_id const id =
            gone ? context.propose(vm_removed{listed.vm_, known->generation_})
                 : context.propose(vm_added{listed.vm_, listed.address_,
                                            listed.data_centre_, listed.rack_,
                                            listed.shape_});
        guard_.proposed(listed.vm_.text(), id);
    }

    std::optional<time_point> requested_at_;
    time_point last_request_{-std::chrono::hours{1}};
    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "vm_intake",
    [](controller_settings const&) { return std::make_unique<vm_intake>(); }};

} // namespace

} // namespace cuminfold
