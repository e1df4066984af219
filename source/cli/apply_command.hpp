#ifndef CUMINFOLD_CLI_APPLY_COMMAND_HPP
#define CUMINFOLD_CLI_APPLY_COMMAND_HPP

#include "cli/command.hpp"

namespace cuminfold
{

/// `apply DIR`: sends the folder's differences to a controller as one change.
int run_apply(command_arguments const& arguments);

} // namespace cuminfold

#endif
