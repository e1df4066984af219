#ifndef CUMINFOLD_CONTROLLER_CONTROLLER_SETTINGS_FILE_HPP
#define CUMINFOLD_CONTROLLER_CONTROLLER_SETTINGS_FILE_HPP

#include "kernel/controller/controller_settings.hpp"
#include "transport/http_server.hpp"
#include "transport/program.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// All settings of the controller program.
struct controller_program_settings
{
    log_settings log_;
    controller_settings kernel_;
    /// Operators' HTTP.
    std::string listen_ = "127.0.0.1:0";
    /// Where gateways and other controllers connect to.
    std::string links_ = "127.0.0.1:0";
    /// Link addresses of other controllers, `IP:PORT`.
    std::vector<std::string> peers_;
    /// The platform, `IP:PORT`.
    std::string platform_;
    /// Duties to run, by registered name; empty: all of them.
    std::vector<std::string> duties_;
    http_server_limits operators_;
    std::uint32_t ring_capacity_ = 8192;
    duration tick_ = std::chrono::milliseconds{50};
};

/// Reads the settings file.
/// @throws settings_error
controller_program_settings
load_controller_settings(server_arguments const& arguments);

} // namespace cuminfold

#endif
