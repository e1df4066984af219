#ifndef CUMINFOLD_CONFIG_SETTINGS_FILE_HPP
#define CUMINFOLD_CONFIG_SETTINGS_FILE_HPP

#include "config/section_reader.hpp"

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminfold
{

/// A settings file with faults; the text has a line for each.
class settings_error : public std::runtime_error
{
public:
    explicit settings_error(std::vector<config_error> const& errors);
};

/// Reads a process's settings file and hands its keys to `read`. Unless all
/// of it is right, nothing of it counts.
/// @throws settings_error
void read_settings(std::string const& path,
                   std::function<void(section_reader&)> const& read);

} // namespace cuminfold

#endif
