#ifndef CUMINFOLD_CONTROLLER_CONTROLLER_SERVER_HPP
#define CUMINFOLD_CONTROLLER_CONTROLLER_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the controller until it is asked to stop.
int run_controller(server_arguments const& arguments);

} // namespace cuminfold

#endif
