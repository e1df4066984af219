#ifndef CUMINFOLD_GATEWAY_KERNEL_LOOP_HPP
#define CUMINFOLD_GATEWAY_KERNEL_LOOP_HPP

#include "kernel/gateway/gateway_action.hpp"
#include "kernel/gateway/gateway_event.hpp"
#include "kernel/gateway/gateway_kernel.hpp"
#include "transport/kernel_thread.hpp"

namespace cuminfold
{

/// The thread that runs the gateway's kernel.
using kernel_loop =
    kernel_thread<gateway_kernel, gateway_event, gateway_action>;

} // namespace cuminfold

#endif
