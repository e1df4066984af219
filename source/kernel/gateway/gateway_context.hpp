#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_CONTEXT_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_CONTEXT_HPP

#include "kernel/gateway/gateway_action.hpp"
#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <utility>
#include <vector>

namespace cuminfold
{

/// What a part of the gateway's kernel has while it handles one event.
struct gateway_context
{
    time_point now_;
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
