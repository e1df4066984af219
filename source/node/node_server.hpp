#ifndef CUMINFOLD_NODE_NODE_SERVER_HPP
#define CUMINFOLD_NODE_NODE_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs an entry VM's program until it is asked to stop.
/// @return the exit status
int run_node(server_arguments const& arguments);

} // namespace cuminfold

#endif
