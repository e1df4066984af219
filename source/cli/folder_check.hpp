#ifndef CUMINFOLD_CLI_FOLDER_CHECK_HPP
#define CUMINFOLD_CLI_FOLDER_CHECK_HPP

#include "kernel/config/config_state.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// The files of a folder and the result of merging them.
struct checked_folder
{
    config_files files_;
    merge_result merged_;
};

/// Reads, merges and validates the `*.yaml` files of a folder. Faults in their
/// contents do not throw; they are listed in `merged_.errors_`.
/// @throws folder_error if it cannot be read or holds no `*.yaml` file
checked_folder check_folder(std::string const& path);

/// Prints each error on a line of its own on stderr.
void print_errors(std::vector<config_error> const& errors);

} // namespace cuminfold

#endif
