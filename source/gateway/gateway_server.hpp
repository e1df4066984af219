#ifndef CUMINFOLD_GATEWAY_GATEWAY_SERVER_HPP
#define CUMINFOLD_GATEWAY_GATEWAY_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the gateway until it is asked to stop; then finishes what is in
/// flight.
int run_gateway(server_arguments const& arguments);

} // namespace cuminfold

#endif
