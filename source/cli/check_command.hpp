#ifndef CUMINFOLD_CLI_CHECK_COMMAND_HPP
#define CUMINFOLD_CLI_CHECK_COMMAND_HPP

#include "cli/command.hpp"

namespace cuminfold
{

/// `check DIR`: merges and validates a folder, offline.
int run_check(command_arguments const& arguments);

} // namespace cuminfold

#endif
