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

/// Makes all decisions of one controller: it reads the log's streams, folds
/// their records and runs the duties, which propose new records. It is
/// deterministic: the same sequence of events yields the same actions.
class controller_kernel
{
public:
    /// @param merger merges the files of a change into a configuration
    /// @param duties registered names of the duties, in the order of execution
    /// @throws unknown_strategy if a duty's name is not registered
    controller_kernel(controller_settings settings, config_merger merger,
                      std::vector<std::string> const& duties);

    /// Handles one event and returns the actions for the adapters to carry out.
    std::vector<controller_action> handle(time_point now,
                                          controller_event const& event);

    /// True if the state is complete enough to serve requests: the log was read
    /// to its end or, while the log does not answer, peers sent their state.
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
    void apply_event(time_point now, controller_event const& event);
    void on_peer_message(time_point now, peer_message const& received);
    void request_peer_state(time_point now);
    void send_heartbeats(time_point now);
    void process(time_point now, controller_event const& event);
    void poll_log(time_point now);
    void resolve_changes(time_point now);
    void send_reply(std::uint64_t ticket, change_outcome outcome, bool unknown);
    void count_log_events();
    void run_duties(time_point now, controller_event const& event);

    /// An operator's change that was proposed and not answered yet.
    struct pending_change
    {
        record_id id_;
        time_point deadline_;
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
    /// By the ticket of the operator's request.
    std::map<std::uint64_t, pending_change> pending_changes_;
    std::vector<std::unique_ptr<controller_duty>> duties_;
    /// Totals already reported as `count_reason`, by reason.
    std::map<reason, std::uint64_t> reported_;
    std::vector<controller_action> actions_;
};

} // namespace cuminfold

#endif
