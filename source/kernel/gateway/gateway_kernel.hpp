#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_KERNEL_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_KERNEL_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "kernel/gateway/claim_manager.hpp"
#include "kernel/gateway/gateway_action.hpp"
#include "kernel/gateway/gateway_context.hpp"
#include "kernel/gateway/gateway_event.hpp"
#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_registration.hpp"
#include "kernel/gateway/gateway_settings.hpp"
#include "kernel/gateway/job_submitter.hpp"
#include "kernel/gateway/release_acknowledger.hpp"
#include "kernel/request/request_engine.hpp"
#include "kernel/request/worker_table.hpp"

#include <vector>

namespace cuminfold
{

/// All decisions of one gateway: follows the streams, folds them, admits and
/// routes requests. Deterministic: the same events give the same actions.
class gateway_kernel
{
public:
    /// @throws unknown_strategy if the settings name one that is not known.
    gateway_kernel(gateway_settings settings, config_merger merger);

    // Its parts refer to each other.
    gateway_kernel(gateway_kernel const&) = delete;
    gateway_kernel& operator=(gateway_kernel const&) = delete;

    /// Takes one event and returns what is to be done about it.
    std::vector<gateway_action> handle(time_point now,
                                       gateway_event const& event);

    /// True once this incarnation's registration was read back.
    bool ready() const noexcept;

    config_state const& config() const noexcept
    {
        return log_.config();
    }
    fleet_state const& fleet() const noexcept
    {
        return log_.fleet();
    }
    worker_table const& workers() const noexcept
    {
        return workers_;
    }

    /// Requests that have no answer yet.
    std::size_t open_requests() const noexcept
    {
        return requests_.open();
    }

private:
    void take(gateway_context& context, gateway_tick const& event);
    void take(gateway_context& context, caller_request const& event);
    void take(gateway_context& context, caller_disconnected const& event);
    void take(gateway_context& context, caller_job const& event);
    void take(gateway_context& context, caller_job_cancel const& event);
    void take(gateway_context& context, dispatch_result const& event);
    void take(gateway_context& context, gateway_stop const& event);
    void take(gateway_context& context, controller_message const& event);
    void take(gateway_context& context, log_read_result const& event);
    void take(gateway_context& context, log_append_result const& event);

    void update_workers(std::vector<vm_id> const& changed);
    void acknowledge_releases();
    void continue_stop(gateway_context& context);

    gateway_settings settings_;
    gateway_log log_;
    gateway_registration registration_;
    release_acknowledger releases_;
    claim_manager claims_;
    worker_table workers_;
    job_submitter jobs_;
    request_engine requests_;
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace cuminfold

#endif
