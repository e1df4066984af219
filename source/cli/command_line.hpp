#ifndef CUMINFOLD_CLI_COMMAND_LINE_HPP
#define CUMINFOLD_CLI_COMMAND_LINE_HPP

namespace cuminfold
{

/// Parses the command line and runs the command. Prints errors on stderr and
/// throws none that derive from `std::exception`.
/// @return the exit status: `exit_fine`, `exit_failed`, or `exit_usage` for
/// invalid arguments, settings or operators' files
int run_command_line(int argc, char const* const* argv);

} // namespace cuminfold

#endif
