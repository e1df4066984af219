#ifndef CUMINFOLD_CLI_COMMAND_HPP
#define CUMINFOLD_CLI_COMMAND_HPP

#include "kernel/time.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// Arguments and options of one command, from the command line and the settings
/// file.
struct command_arguments
{
    /// Positional arguments after the command's name.
    std::vector<std::string> positional_;
    /// Operators' address of a controller, `IP:PORT`; empty if none is given.
    std::string controller_;
    /// `--output json`: print JSON instead of text.
    bool json_ = false;
    /// `apply --wait`: wait until every live node has confirmed the change.
    bool wait_ = false;
    /// `apply --overwrite`: also change files whose revision in force is not
    /// the one that the folder edits.
    bool overwrite_ = false;
    /// `get --into FOLDER`: folder to write to; empty: print to stdout.
    std::string into_;
    /// `check-fleet --in-force FILE`: the configuration in force; empty: none.
    std::string in_force_;
    /// `check-fleet --largest-task CPU,MEM`; empty: not given.
    std::string largest_task_;
    /// Author recorded with a change.
    std::string author_;
    /// Time limit of each request, and of the wait of `apply --wait`.
    duration timeout_{0};
};

/// One command of `cuminfold`.
struct command
{
    char const* name_;
    /// Name, arguments and options of the command, as the help text prints
    /// them.
    char const* usage_;
    /// One line for the list of commands.
    char const* summary_;
    /// The text of `cuminfold help COMMAND`.
    char const* help_;
    /// Returns the exit status.
    int (*run_)(command_arguments const&);
};

} // namespace cuminfold

#endif
