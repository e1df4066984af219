#ifndef CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_KERNEL_HPP
#define CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_KERNEL_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/controller/controller_action.hpp"
#include "kernel/controller/controller_duty.hpp"
#include "kernel/controller/controller_event.hpp"
#include "kernel/controller/controller_settings.hpp"
#include "kernel/controller/log_route.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/membership/membership.hpp"
#include "kernel/snapshot/fleet_view.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cuminfold
{

/// All decisions of one controller: follows the streams, folds them, and lets
/// its duties propose. Deterministic: the same events give the same actions.
class controller_kernel
{
public:
    /// @param duties registered names of the duties to run, in that order
    /// @throws unknown_strategy
    controller_kernel(controller_settings settings, config_merger merger,
                      std::vector<std::string> const& duties);

    /// Takes one event and returns what is to be done about it.
    std::vector<controller_action> handle(time_point now,
                                          controller_event const& event);

    /// True if its state may be served by: the log was read to its end, or,
    /// while the log does not answer, peers gave their state.
    bool ready() const noexcept;

    config_state const& config() const noexcept
    {
        return view_.config();
    }
    fleet_state const& fleet() const noexcept
    {
        return view_.fleet();
    }
    fleet_view const& view() const noexcept
    {
        return view_;
    }
    membership const& members() const noexcept
    {
        return members_;
    }

private:
    void take(time_point now, controller_event const& event);
    void take_peer(time_point now, peer_message const& received);
    void ask_peers(time_point now);
    void keep_members(time_point now);
    void step(time_point now, controller_event const& event);
    void poll_log(time_point now);
    void settle_changes(time_point now);
    void reply_to(std::uint64_t ticket, change_outcome outcome, bool unknown);
    void count_log_events();
    void run_duties(time_point now, controller_event const& event);

    struct waiting_change
    {
        record_id id_;
        time_point give_up_;
    };

    controller_settings settings_;
    fleet_view view_;
    membership members_;
    log_route route_;
    log_writer config_writer_;
    log_writer fleet_writer_;
    vm_list list_;
    wall_time wall_{};
    std::mt19937_64 random_;
    std::map<std::uint64_t, waiting_change> changes_;
    std::vector<std::unique_ptr<controller_duty>> duties_;
    /// Events of the log that were counted so far, by reason.
    std::map<reason, std::uint64_t> counted_;
    std::vector<controller_action> actions_;
};

} // namespace cuminfold

#endif
