#ifndef CUMINFOLD_CLI_FOLDER_CHECK_HPP
#define CUMINFOLD_CLI_FOLDER_CHECK_HPP

#include "kernel/config/config_state.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// The files of a folder and what they merge to.
struct checked_folder
{
    config_files files_;
    merge_result merged_;
};

/// Reads, merges and validates a folder.
/// @throws folder_error if it cannot be read or holds no `*.yaml` file
checked_folder check_folder(std::string const& path);

/// Prints each fault on a line of its own on stderr.
void print_errors(std::vector<config_error> const& errors);

} // namespace cuminfold

#endif
