#ifndef CUMINFOLD_CLI_CONFIG_CLIENT_HPP
#define CUMINFOLD_CLI_CONFIG_CLIENT_HPP

#include "cli/command.hpp"
#include "kernel/config/config_state.hpp"

#include <nlohmann/json.hpp>

namespace cuminfold
{

/// The files in force, from a controller's `/v1/config`.
config_files parse_files(nlohmann::json const& config);

/// Waits until every live node has confirmed the change at `offset`; prints
/// the nodes that have not when the time is over.
/// @return false if some have not
bool wait_for_confirmations(command_arguments const& arguments,
                            log_offset offset);

} // namespace cuminfold

#endif
