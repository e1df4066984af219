#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_REGISTRATION_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_REGISTRATION_HPP

#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_settings.hpp"

#include <optional>

namespace cuminfold
{

/// Registers the gateway's incarnation, and takes it back at a stop.
///
/// A gateway dispatches only while its registration, read back, is live: it
/// then has either seen a VM's release or is among those whose acknowledgement
/// the next step of the VM needs.
class gateway_registration
{
public:
    explicit gateway_registration(gateway_settings const& settings)
        : settings_(&settings)
    {
    }

    /// Proposes what is due. A second incarnation of the same name that
    /// registered later is not replaced again.
    void poll(gateway_log& log);

    /// Takes the registration back, by the gateway's own word.
    void leave(time_point now, gateway_log& log);

    /// True once the incarnation is no longer registered, or the wait for that
    /// is over.
    bool left(time_point now, gateway_log const& log) const;

    /// True once a stop has waited for as long as it may.
    bool is_leave_timed_out(time_point now) const;

    bool live(gateway_log const& log) const;

    /// Whether the gateway may dispatch to workers: it is registered, or the
    /// log is lost and no gateway of the data centre is registered.
    bool may_dispatch(time_point now, gateway_log const& log) const;

private:
    gateway_settings const* settings_;
    std::optional<record_id> proposed_;
    std::optional<time_point> leaving_since_;
};

} // namespace cuminfold

#endif
