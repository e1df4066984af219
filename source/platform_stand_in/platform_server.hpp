#ifndef CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_SERVER_HPP
#define CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the platform's stand-in: log, list of VMs, reboots and fault switches
/// over HTTP. See docs/OPERATIONS.md for its interface.
int run_platform(server_arguments const& arguments);

} // namespace cuminfold

#endif
