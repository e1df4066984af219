#ifndef CUMINFOLD_NODE_NODE_SETTINGS_FILE_HPP
#define CUMINFOLD_NODE_NODE_SETTINGS_FILE_HPP

#include "node/node_settings.hpp"

#include <string>

namespace cuminfold
{

/// Reads the settings file.
/// @throws settings_error with a line for each fault in the file
node_settings load_node_settings(std::string const& path);

} // namespace cuminfold

#endif
