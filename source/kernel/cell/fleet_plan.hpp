#ifndef CUMINFOLD_KERNEL_CELL_FLEET_PLAN_HPP
#define CUMINFOLD_KERNEL_CELL_FLEET_PLAN_HPP

#include "kernel/cell/cell.hpp"
#include "kernel/cell/wave_order.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cuminfold
{

struct fleet_plan_options
{
    /// A new owner gives no order for this long for a VM that an earlier one
    /// may have given an order for just now.
    duration order_pause_ = std::chrono::milliseconds{4200};
    /// Orders are given only this long after a confirmation of the epoch.
    duration confirmation_limit_ = std::chrono::milliseconds{700};
    /// A VM is taken for down for this long after an order, whatever lists
    /// say.
    duration min_down_time_ = std::chrono::milliseconds{1200};
    duration list_interval_ = std::chrono::milliseconds{500};
    /// While nothing is to be done.
    duration idle_list_interval_ = std::chrono::milliseconds{1500};
    /// A VM that is not empty this long after it was reserved is maintained
    /// all the same, unless lasting tasks are on it.
    duration drain_timeout_ = std::chrono::milliseconds{5000};
    duration balance_interval_ = std::chrono::milliseconds{100};
};

/// Ask for the list of VMs.
struct list_vms
{
};

struct maintain_vm
{
    vm_id vm_;
    wave_number wave_ = 0;
};

struct move_vm
{
    vm_id vm_;
    pool_name pool_;
};

struct report_wave
{
    wave_number wave_ = 0;
    bool completed_ = false;
};

using fleet_action =
    std::variant<list_vms, maintain_vm, move_vm, report_wave, log_decision>;

/// Decides which VMs are maintained or moved, and when: reserves them in the
/// cell, waits until they are empty, and gives the order.
class fleet_plan
{
public:
    fleet_plan(fleet_plan_options options, cell& jobs);

    /// @name Recovery, before the first tick
    /// @{
    /// An earlier owner may have given an order for that VM just now.
    void restore_order(vm_id const& vm, time_point now);
    void restore_wave(wave_number wave, std::string const& maintained);
    /// @}

    void set_waves(std::map<wave_number, wave_order> const& waves,
                   time_point now);
    /// The list of VMs as it was at some time after `asked`.
    void listed(std::vector<listed_vm> vms, time_point asked, time_point now);
    void list_failed(time_point now);
    void maintained(vm_id const& vm, wave_number wave, vm_outcome outcome,
                    time_point now);
    void moved(vm_id const& vm, vm_outcome outcome, time_point now);
    void reported(wave_number wave, bool stored);

    /// @param confirmed when the epoch was last confirmed
    void tick(time_point now, time_point confirmed);

    std::vector<fleet_action> take_actions();

private:
    struct vm_operation
    {
        wave_number wave_ = 0;
        std::optional<pool_name> target_;
        time_point reserved_{};
        /// The record that says an order may be given; see
        /// `cell::append_record()`.
        std::uint64_t record_ = 0;
        bool ordered_ = false;
        bool order_in_flight_ = false;
        time_point ordered_at_{};
        time_point next_try_{};
    };

    struct wave_state
    {
        wave_order order_;
        std::set<vm_id> maintained_;
        bool running_reported_ = false;
        bool completed_reported_ = false;
        bool report_in_flight_ = false;
    };

    void advance_waves(time_point now);
    void balance(time_point now);
    void end_finished_moves();
    bool is_held(vm_id const& vm, time_point now) const;
    void select_vms(wave_state& wave, time_point now);
    void advance_operations(time_point now, bool can_send_orders);
    /// @return false if the order is not wanted any more
    bool handle_order_result(vm_id const& vm, vm_outcome outcome,
                             time_point now);
    void begin_operation(vm_id const& vm, vm_operation operation);
    void end_operation(vm_id const& vm);
    void log_wave(wave_state const& wave);
    void delete_old_orders(time_point now);
    void report(wave_state& wave);
    std::uint32_t maintenance_count(wave_number wave) const;
    bool is_standby(listed_vm const& vm) const;

    fleet_plan_options options_;
    cell& cell_;
    std::map<vm_id, listed_vm> vms_;
    std::map<wave_number, wave_state> waves_;
    std::map<vm_id, vm_operation> operations_;
    /// VMs that are not ordered about before then: orders of earlier owners,
    /// and our own whose records are not dropped yet.
    std::map<vm_id, time_point> held_until_;
    /// VMs that this owner has given an order for.
    std::set<vm_id> own_orders_;
    time_point next_list_{};
    time_point next_balance_{};
    time_point next_load_log_{};
    bool list_in_flight_ = false;
    bool list_received_ = false;
    std::vector<fleet_action> actions_;
};

} // namespace cuminfold

#endif
