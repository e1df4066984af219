#ifndef CUMINFOLD_KERNEL_CONFIG_CONFIG_FILES_HPP
#define CUMINFOLD_KERNEL_CONFIG_CONFIG_FILES_HPP

#include "kernel/identifier.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// One file in force.
struct config_file
{
    std::string text_;
    /// Offset of the change that last wrote it.
    log_offset revision_ = no_offset;
    /// Who made that change.
    std::string author_;
};

using config_files = std::map<file_name, config_file>;

} // namespace cuminfold

#endif
