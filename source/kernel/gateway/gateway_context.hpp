#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_CONTEXT_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_CONTEXT_HPP

#include "kernel/gateway/gateway_action.hpp"
#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <utility>
#include <vector>

namespace cuminfold
{

/// Passed to the parts of the gateway's kernel while they handle one event.
struct gateway_context
{
    time_point now_;
    /// The actions that the event leads to, in order.
    std::vector<gateway_action>& actions_;

    void act(gateway_action action)
    {
        actions_.push_back(std::move(action));
    }

    void count(reason cause)
    {
        actions_.emplace_back(count_gateway_reason{cause});
    }
};

} // namespace cuminfold

#endif
