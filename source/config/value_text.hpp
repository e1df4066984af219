#ifndef CUMINFOLD_CONFIG_VALUE_TEXT_HPP
#define CUMINFOLD_CONFIG_VALUE_TEXT_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/intended_state.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// The values in force by key path, as their files write them; lists and maps
/// in one line.
std::map<std::string, std::string> write_values(config_files const& files,
                                                intended_state const& state);

} // namespace cuminfold

#endif
