#ifndef CUMINFOLD_CONFIG_FOLDER_REVISIONS_HPP
#define CUMINFOLD_CONFIG_FOLDER_REVISIONS_HPP

#include "kernel/identifier.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// The revision of each file that a folder's edits start from. It stands in
/// the folder's file `.cuminfold-revisions`, which belongs under version
/// control with the rest.
using folder_revisions = std::map<file_name, log_offset>;

/// Empty if the folder has no such file.
/// @throws folder_error if the file is malformed
folder_revisions read_revisions(std::string const& folder);

/// @throws folder_error if it cannot be written
void write_revisions(std::string const& folder,
                     folder_revisions const& revisions);

} // namespace cuminfold

#endif
