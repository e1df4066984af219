#ifndef CUMINFOLD_CLI_COMMAND_TABLE_HPP
#define CUMINFOLD_CLI_COMMAND_TABLE_HPP

#include "cli/command.hpp"

#include <vector>

namespace cuminfold
{

/// All commands, in the order of the help text.
std::vector<command> const& command_table();

} // namespace cuminfold

#endif
