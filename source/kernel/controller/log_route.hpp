#ifndef CUMINFOLD_KERNEL_CONTROLLER_LOG_ROUTE_HPP
#define CUMINFOLD_KERNEL_CONTROLLER_LOG_ROUTE_HPP

#include "kernel/controller/controller_action.hpp"
#include "kernel/controller/controller_event.hpp"
#include "kernel/identifier.hpp"
#include "kernel/membership/membership.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace cuminfold
{

/// Routes a controller's log reads and appends to the platform or, while the
/// platform does not answer this controller, to a peer that reports that it can
/// reach the log itself. A peer in the same data centre is preferred. A relayed
/// request is never relayed again, so routing loops cannot occur.
class log_route
{
public:
    /// Replaces reads and appends in `actions` by requests to a peer while the
    /// platform does not answer; some reads still go to the platform, to detect
    /// its recovery.
    void redirect(time_point now, membership const& members,
                  std::vector<controller_action>& actions);

    /// Updates the reachability from a result of a read that was sent to the
    /// platform directly.
    void on_direct_read(log_read_result const& result);

    /// Converts a peer's answer to a relayed request into the result event of
    /// that request. Returns nothing if the message answers no outstanding
    /// request.
    std::optional<controller_event> unwrap(message const& received);

    /// True if the last direct read was answered; false before the first
    /// answer.
    bool reachable() const noexcept
    {
        return failures_ == 0 && answered_;
    }

private:
    std::uint64_t issue_ticket();
    bool redeem_ticket(std::uint64_t ticket);

    /// Consecutive direct reads without an answer.
    std::uint32_t failures_ = 0;
    bool answered_ = false;
    /// Last read sent to the platform while peers serve the others.
    time_point last_probe_{};
    std::uint64_t next_ticket_ = 1;
    /// Tickets of outstanding requests to peers.
    std::set<std::uint64_t> tickets_;
};

} // namespace cuminfold

#endif
