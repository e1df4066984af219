#ifndef CUMINFOLD_CLI_COMMAND_TABLE_HPP
#define CUMINFOLD_CLI_COMMAND_TABLE_HPP

#include "cli/command.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// Each function returns one command; it is defined, with the command's help
/// text, in the file `NAME_command.cpp`.
command make_check_command();
command make_check_fleet_command();
command make_apply_command();
command make_get_command();
command make_status_command();
command make_pools_command();
command make_vms_command();
command make_waves_command();
command make_jobs_command();
command make_explain_command();
command make_help_command();

/// All commands, in the order of the help text.
std::vector<command> const& command_table();

/// Finds a command by name.
/// @throws usage_error if there is none; the text lists the known names
command const& find_command(std::string const& name);

} // namespace cuminfold

#endif
