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

/// Sends a controller's reads and appends to the platform's log or, while that
/// does not answer it, through a peer that says that it reaches the log itself,
/// rather one of its data centre. A relayed request is never relayed again, so
/// there are no loops.
class log_route
{
public:
    /// Readdresses the reads and appends among the actions.
    void direct(time_point now, membership const& members,
                std::vector<controller_action>& actions);

    /// Takes note of an answer that came from the platform itself.
    void heard(log_read_result const& result);

    /// The event that a peer's answer stands for; empty if the message is not
    /// the answer to something asked.
    std::optional<controller_event> answer(message const& what);

    /// True if the platform's last answer was one.
    bool reachable() const noexcept
    {
        return failures_ == 0 && answered_;
    }

private:
    std::uint64_t ask();
    bool expected(std::uint64_t ticket);

    std::uint32_t failures_ = 0;
    bool answered_ = false;
    time_point tried_at_{};
    std::uint64_t next_ticket_ = 1;
    std::set<std::uint64_t> tickets_;
};

} // namespace cuminfold

#endif
