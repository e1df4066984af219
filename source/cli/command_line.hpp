#ifndef CUMINFOLD_CLI_COMMAND_LINE_HPP
#define CUMINFOLD_CLI_COMMAND_LINE_HPP

namespace cuminfold
{

/// Reads the command line, runs the command and returns the exit status.
int run_command_line(int argc, char const* const* argv);

} // namespace cuminfold

#endif
