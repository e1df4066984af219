#ifndef CUMINFOLD_CLI_CONFIG_CLIENT_HPP
#define CUMINFOLD_CLI_CONFIG_CLIENT_HPP

#include "cli/command.hpp"
#include "kernel/config/config_state.hpp"

#include <nlohmann/json.hpp>

namespace cuminfold
{

/// Reads the files in force from the body of a controller's `/v1/config`.
/// @throws nlohmann::json::exception if the body lacks a field or has a field
/// of another type
config_files parse_files(nlohmann::json const& config);

/// Polls the controller until every live node has confirmed the change at
/// `offset`, or until `arguments.timeout_` has passed. After the timeout,
/// prints the nodes that have not confirmed it on stderr.
/// @return false after the timeout
/// @throws std::runtime_error if the controller does not answer or refuses
bool wait_for_confirmations(command_arguments const& arguments,
                            log_offset offset);

} // namespace cuminfold

#endif
