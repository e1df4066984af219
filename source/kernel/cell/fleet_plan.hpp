#ifndef CUMINFOLD_KERNEL_CELL_FLEET_PLAN_HPP
#define CUMINFOLD_KERNEL_CELL_FLEET_PLAN_HPP

#include "kernel/cell/cell.hpp"
#include "kernel/cell/vm_absences.hpp"
#include "kernel/cell/vm_order_book.hpp"
#include "kernel/cell/wave_order.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminfold
{

/// Intervals and timeouts of `fleet_plan`.
struct fleet_plan_options
{
    /// If a previous owner may just have sent an order to a VM, a new owner
    /// sends none to it for this long. The time begins when the new owner
    /// reads the record of that order.
    duration order_pause_ = std::chrono::milliseconds{4200};
    /// Orders are sent only within this time after the last confirmation of
    /// the epoch, so that an owner that may have been replaced sends none.
    duration confirmation_limit_ = std::chrono::milliseconds{700};
    /// A VM counts as down for this long after an order, even if the list
    /// shows it as up.
    duration min_down_time_ = std::chrono::milliseconds{1200};
    duration list_interval_ = std::chrono::milliseconds{500};
    /// Applies while no wave or operation is unfinished.
    duration idle_list_interval_ = std::chrono::milliseconds{1500};
    /// A VM that is still not empty this long after it was reserved is
    /// maintained anyway, unless it runs long-running tasks.
    duration drain_timeout_ = std::chrono::milliseconds{5000};
    duration balance_interval_ = std::chrono::milliseconds{100};
    /// Minimum interval between two reviews of all waves and operations. The
    /// owner ticks at each event, and a review looks at every VM.
    duration review_interval_ = std::chrono::milliseconds{20};
    /// Interval at which reservations are reviewed that have not ended yet.
    duration reservation_review_interval_ = std::chrono::milliseconds{500};
    /// A VM whose reservation was given back, or whose maintenance was refused,
    /// is not reserved for this long.
    duration reservation_pause_ = std::chrono::seconds{5};
    /// A VM is gone if the platform's lists lack it for this long.
    duration min_absence_ = std::chrono::seconds{3};
    /// The same as `reservation_pause_` for a VM that could not be emptied when
    /// it was to be reserved.
    duration emptying_retry_interval_ = std::chrono::milliseconds{500};
};

/// Requests the list of VMs from the platform.
struct list_vms
{
};

/// Orders the platform to maintain a VM.
struct maintain_vm
{
    vm_id vm_;
    wave_number wave_ = 0;
};

/// Orders the platform to move a VM to another pool.
struct move_vm
{
    vm_id vm_;
    pool_name pool_;
};

/// Reports a wave as running, or as completed.
struct report_wave
{
    wave_number wave_ = 0;
    bool completed_ = false;
};

/// An action of `fleet_plan` for the caller to carry out.
using fleet_action =
    std::variant<list_vms, maintain_vm, move_vm, report_wave, log_decision>;

/// Schedules the maintenance of VMs and their moves between pools. For each VM
/// it reserves the VM in the cell, waits until no task runs there, and then
/// sends the order.
///
/// The class does no I/O: the caller carries out `take_actions()` and reports
/// the results.
class fleet_plan
{
public:
    fleet_plan(fleet_plan_options options, cell& owned);

    /// @name Recovery, before the first tick
    /// @{
    /// Adds a stored record of a VM's orders. If a previous owner may just have
    /// sent one, the VM gets no order until `order_pause_` after `now`.
    /// @param text as `encode(vm_order_record)` wrote it
    void restore_order(vm_id const& vm, std::string const& text,
                       time_point now);
    /// Adds a stored record of a wave, which says that it was completed.
    void restore_wave(wave_number wave);
    /// @}

    /// Adds or updates waves; waves that are missing in `waves` are kept. A
    /// wave is completed once each of its VMs is maintained or gone.
    void set_waves(std::map<wave_number, wave_order> const& waves,
                   time_point now);

    /// @name Results of actions
    /// @{
    /// The list was received. Its VMs replace those known before, and
    /// operations on VMs that are up again or gone end.
    /// @param list read at some time after `requested_at`
    void listed(vm_list list, time_point requested_at, time_point now);
    /// The list was not received; it is requested again.
    void list_failed(time_point now);
    /// An attempt to maintain the VM ended; called for every outcome.
    void maintained(vm_id const& vm, wave_number wave, vm_outcome outcome,
                    time_point now);
    /// An attempt to move the VM ended; called for every outcome.
    void moved(vm_id const& vm, vm_outcome outcome, time_point now);
    /// An attempt to report the wave ended; called for every outcome.
    /// @param stored false if the report has to be sent again
    void reported(wave_number wave, bool stored);
    /// @}

    /// Appends the actions that are due.
    /// @param confirmed when the epoch was last confirmed
    void tick(time_point now, time_point confirmed);

    /// Returns and clears the pending actions.
    std::vector<fleet_action> take_actions();

private:
    /// The maintenance of one VM, or its move.
    struct vm_operation
    {
        /// 0 for a move.
        wave_number wave_ = 0;
        /// Empty for maintenance.
        std::optional<pool_name> target_;
        time_point reserved_at_{};
        /// When its long-running tasks could last leave the VM.
        time_point emptiable_at_{};
        /// Number of the record of the order, which has to be stored before the
        /// order is sent; see `cell::append_record()`.
        std::uint64_t record_ = 0;
        /// The platform answered `done`.
        bool ordered_ = false;
        bool order_in_flight_ = false;
        /// Time of that answer.
        time_point ordered_at_{};
        /// Until then an order without an answer may be carried out.
        time_point may_begin_until_{};
        time_point next_try_{};
    };

    struct wave_state
    {
        wave_order order_;
        bool running_reported_ = false;
        bool completed_reported_ = false;
        bool report_in_flight_ = false;
    };

    void advance_waves(time_point now);
    void balance(time_point now);
    void end_finished_moves(time_point now);
    void select_vms(wave_state& wave, time_point now);
    void advance_operations(time_point now, bool can_send_orders);
    /// @return false if the VM has no operation any more
    bool handle_order_result(vm_id const& vm, vm_outcome outcome,
                             time_point now);
    void begin_operation(vm_id const& vm, vm_operation operation);
    void end_operation(vm_id const& vm, time_point now);
    /// Ends reservations that others wait for or that can't be seen to end, as
    /// far as no order follows from them yet.
    void review_reservations(time_point now);
    void give_back(vm_id const& vm, char const* cause, time_point now);
    /// Whether the VM's reservation may begin now.
    bool may_reserve(vm_id const& vm, time_point now) const;
    /// @param text empty to delete the record
    std::uint64_t append_order_record(vm_id const& vm, std::string text);
    /// Stores that the wave is completed, which `restore_wave()` reads, and
    /// deletes what is stored of its VMs.
    void append_wave_record(wave_number wave);
    void report(wave_state& wave);
    /// Whether the VM is proved to be gone: a list without it is no proof, and
    /// a registered worker is one against it.
    bool is_gone(vm_id const& vm) const;
    /// Whether it matters if the VM is gone.
    bool is_watched(vm_id const& vm) const;
    /// Whether the VM counts as out of service for the wave: it is reserved for
    /// it, in maintenance, or an earlier owner's order for it is not settled.
    bool is_down_for(wave_number wave, vm_id const& vm) const;
    /// Logs an order with the number of VMs that count against the limit of the
    /// wave, this one included, and the age of the list behind it.
    void log_maintenance_order(vm_id const& vm, wave_number wave,
                               time_point now);
    std::uint32_t maintenance_count(wave_state const& wave) const;
    bool is_standby(listed_vm const& vm) const;

    fleet_plan_options options_;
    cell& cell_;
    std::map<vm_id, listed_vm> vms_;
    std::map<wave_number, wave_state> waves_;
    std::map<vm_id, vm_operation> operations_;
    /// The earliest time of the next reservation of VMs that could not be
    /// emptied.
    std::map<vm_id, time_point> next_reservations_;
    vm_order_book orders_;
    vm_absences absences_;
    time_point next_review_{};
    time_point next_reservation_review_{};
    time_point next_list_{};
    /// A list that was requested earlier does not answer the latest waves.
    time_point list_wanted_since_{};
    time_point next_balance_{};
    time_point next_load_log_{};
    bool list_in_flight_ = false;
    bool list_received_ = false;
    /// When the present list was requested.
    time_point list_requested_at_{};
    std::vector<fleet_action> actions_;
};

} // namespace cuminfold

#endif
