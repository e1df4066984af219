#ifndef CUMINFOLD_NODE_NODE_SERVER_HPP
#define CUMINFOLD_NODE_NODE_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the program of an entry VM until SIGTERM or SIGINT, then ends the
/// process; does not return unless it throws.
/// @throws settings_error for a faulty settings file
/// @throws std::runtime_error if an address cannot be bound
int run_node(server_arguments const& arguments);

} // namespace cuminfold

#endif
