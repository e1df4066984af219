#ifndef CUMINFOLD_WORKER_WORKER_SERVER_HPP
#define CUMINFOLD_WORKER_WORKER_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the stand-in for one or more worker VMs, each listening on its own
/// port, and registers their addresses with the platform stand-in. Returns the
/// process exit code after a stop signal.
/// @throws settings_error if the settings are invalid
/// @throws std::runtime_error if the platform rejects a VM or does not respond
int run_worker(server_arguments const& arguments);

} // namespace cuminfold

#endif
