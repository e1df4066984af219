#ifndef CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_SERVER_HPP
#define CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the platform stand-in, which serves the log, the list of VMs, reboots
/// and fault injection over HTTP. See docs/OPERATIONS.md for its interface.
/// Returns the process exit code after a stop signal.
int run_platform(server_arguments const& arguments);

} // namespace cuminfold

#endif
