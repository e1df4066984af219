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

/// Makes all decisions of one gateway: reads and folds the log streams, admits
/// and routes requests. Deterministic: the same events at the same times give
/// the same actions.
class gateway_kernel
{
public:
    /// @throws unknown_strategy if the settings name one that is not known.
    gateway_kernel(gateway_settings settings, config_merger merger);

    // The members hold pointers to each other.
    gateway_kernel(gateway_kernel const&) = delete;
    gateway_kernel& operator=(gateway_kernel const&) = delete;

    /// Handles one event and returns the actions to perform, in order.
    std::vector<gateway_action> handle(time_point now,
                                       gateway_event const& event);

    /// True while this incarnation's registration, read back from the log, is
    /// live and no stop has begun.
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

    /// Number of requests that have not been answered.
    std::size_t open_requests() const noexcept
    {
        return requests_.open();
    }

private:
    void on_event(gateway_context& context, gateway_tick const& event);
    void on_event(gateway_context& context, caller_request const& event);
    void on_event(gateway_context& context, caller_disconnected const& event);
    void on_event(gateway_context& context, caller_job const& event);
    void on_event(gateway_context& context, caller_job_cancel const& event);
    void on_event(gateway_context& context, dispatch_result const& event);
    void on_event(gateway_context& context, gateway_stop const& event);
    void on_event(gateway_context& context, controller_message const& event);
    void on_event(gateway_context& context, log_read_result const& event);
    void on_event(gateway_context& context, log_append_result const& event);

    /// Updates `workers_` and `releases_` from the folded entries of these VMs.
    void update_workers(std::vector<vm_id> const& changed);
    void acknowledge_releases();
    /// Once the requests and jobs are finished, withdraws the registration and
    /// reports the end of the stop.
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
