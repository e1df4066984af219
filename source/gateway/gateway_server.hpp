#ifndef CUMINFOLD_GATEWAY_GATEWAY_SERVER_HPP
#define CUMINFOLD_GATEWAY_GATEWAY_SERVER_HPP

#include "transport/program.hpp"

namespace cuminfold
{

/// Runs the gateway until a stop signal arrives, then finishes the requests in
/// flight.
/// @return the exit code: `exit_fine`, or `exit_failed` if requests were still
///         in flight after `stop_limit`
/// @throws settings_error
int run_gateway(server_arguments const& arguments);

} // namespace cuminfold

#endif
