#ifndef CUMINFOLD_CONFIG_OPERATORS_FOLDER_HPP
#define CUMINFOLD_CONFIG_OPERATORS_FOLDER_HPP

#include "kernel/config/config_state.hpp"

#include <stdexcept>
#include <string>

namespace cuminfold
{

/// A folder or file that cannot be read; the text says which and why.
class folder_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Reads the `*.yaml` files of a folder; sub-folders and other files are left
/// out. The revisions are not known and are `no_offset`.
/// @throws folder_error
config_files read_folder(std::string const& path);

} // namespace cuminfold

#endif
