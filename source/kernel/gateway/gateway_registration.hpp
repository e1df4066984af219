#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_REGISTRATION_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_REGISTRATION_HPP

#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_settings.hpp"

#include <optional>

namespace cuminfold
{

/// Registers the gateway's incarnation, and withdraws it at a stop.
///
/// A gateway dispatches only while its registration, read back from the log, is
/// live. Then it either has read a VM's release, or the VM's next step waits
/// for its acknowledgement. `may_dispatch` states the one exception.
class gateway_registration
{
public:
    explicit gateway_registration(gateway_settings const& settings)
        : settings_(&settings)
    {
    }

    /// Proposes the registration if needed. If another incarnation of the same
    /// node registered after this one, it is left in place.
    void poll(gateway_log& log);

    /// Withdraws the registration: proposes a record that this incarnation has
    /// left, unless its registration was never sent.
    void leave(time_point now, gateway_log& log);

    /// True once `leave` was called and the incarnation is no longer registered
    /// or `is_leave_timed_out`.
    bool has_left(time_point now, gateway_log const& log) const;

    /// True once `request_options::leave_wait_` has passed since `leave`.
    bool is_leave_timed_out(time_point now) const;

    /// True while the folded fleet state has this incarnation as registered.
    bool is_registered(gateway_log const& log) const;

    /// True if the gateway may dispatch to workers: it is registered, or it is
    /// not leaving, the log was unreachable for
    /// `request_options::log_lost_after_` and no gateway of its data centre is
    /// registered.
    bool may_dispatch(time_point now, gateway_log const& log) const;

private:
    gateway_settings const* settings_;
    std::optional<record_id> proposed_;
    std::optional<time_point> leaving_since_;
};

} // namespace cuminfold

#endif
