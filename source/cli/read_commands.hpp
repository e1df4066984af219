#ifndef CUMINFOLD_CLI_READ_COMMANDS_HPP
#define CUMINFOLD_CLI_READ_COMMANDS_HPP

#include "cli/command.hpp"

namespace cuminfold
{

/// The commands that read a controller's view and show it as a table, or as
/// JSON.
int run_get(command_arguments const& arguments);
int run_status(command_arguments const& arguments);
int run_pools(command_arguments const& arguments);
int run_vms(command_arguments const& arguments);
int run_waves(command_arguments const& arguments);
int run_jobs(command_arguments const& arguments);
int run_explain(command_arguments const& arguments);

} // namespace cuminfold

#endif
