#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_KERNEL_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_KERNEL_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "kernel/gateway/gateway_action.hpp"
#include "kernel/gateway/gateway_event.hpp"
#include "kernel/gateway/gateway_settings.hpp"
#include "kernel/log/log_tail.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/outcome.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cuminfold
{

/// All decisions of one gateway: follows the streams, folds them, admits and
/// routes requests. Deterministic: the same events give the same actions.
class gateway_kernel
{
public:
    gateway_kernel(gateway_settings settings, config_merger merger);

    /// Takes one event and returns what is to be done about it.
    std::vector<gateway_action> handle(time_point now,
                                       gateway_event const& event);

    /// True once this incarnation's registration was read back.
    bool ready() const noexcept;

    config_state const& config() const noexcept
    {
        return config_;
    }
    fleet_state const& fleet() const noexcept
    {
        return fleet_;
    }

private:
    struct request_entry
    {
        caller_request request_;
        time_point deadline_;
        request_progress progress_;
        dispatch_number dispatch_ = 0;
        vm_id vm_;
    };

    void take(time_point now, gateway_event const& event);
    void take_log(time_point now, log_read_result const& result);
    void fold_fleet();
    void poll_log(time_point now);
    void register_self();
    void acknowledge_releases();
    void admit(time_point now, caller_request const& request);
    void dispatch(time_point now, request_entry& entry, vm_entry const& vm);
    void finish(time_point now, dispatch_result const& result);
    void expire(time_point now);
    void refuse(request_entry const& entry, reason why);
    void end_unanswered(request_entry const& entry, reason why);
    vm_entry const* choose(service_spec const& service);
    std::uint32_t in_flight(vm_id const& vm) const;

    gateway_settings settings_;
    config_state config_;
    fleet_state fleet_;
    log_tail config_tail_;
    log_tail fleet_tail_;
    log_writer fleet_writer_;
    std::deque<log_entry> fleet_backlog_;
    std::optional<record_id> registration_;
    std::map<request_id, request_entry> requests_;
    std::map<dispatch_number, request_id> dispatches_;
    std::map<vm_id, std::uint32_t> in_flight_;
    std::map<vm_id, generation> acknowledged_;
    dispatch_number next_dispatch_ = 1;
    std::uint64_t turn_ = 0;
    bool stopping_ = false;
    std::vector<gateway_action> actions_;
};

} // namespace cuminfold

#endif
