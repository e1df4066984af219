#ifndef CUMINFOLD_WORKER_WORKER_SERVER_HPP
#define CUMINFOLD_WORKER_WORKER_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the stand-in of one or several worker VMs, each on its own port, and
/// tells the platform's stand-in where they are.
int run_worker(server_arguments const& arguments);

} // namespace cuminfold

#endif
