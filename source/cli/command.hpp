#ifndef CUMINFOLD_CLI_COMMAND_HPP
#define CUMINFOLD_CLI_COMMAND_HPP

#include "kernel/time.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// What an operator typed after the command's name.
struct command_arguments
{
    std::vector<std::string> words_;
    /// Controller, `IP:PORT`.
    std::string controller_;
    bool json_ = false;
    /// `apply --wait`: until all nodes have it.
    bool wait_ = false;
    /// `apply --overwrite`: also what this folder has not read.
    bool overwrite_ = false;
    /// `get --into FOLDER`; empty: print.
    std::string into_;
    std::string author_;
    duration timeout_{0};
};

/// One command of `cuminfold`.
struct command
{
    char const* name_;
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
