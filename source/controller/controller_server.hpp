#ifndef CUMINFOLD_CONTROLLER_CONTROLLER_SERVER_HPP
#define CUMINFOLD_CONTROLLER_CONTROLLER_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the controller program until the process receives a stop signal.
///
/// @return the exit status of the process
/// @throws settings_error if the settings file cannot be used
/// @throws std::runtime_error if the operators' listen address cannot be used
int run_controller(server_arguments const& arguments);

} // namespace cuminfold

#endif
