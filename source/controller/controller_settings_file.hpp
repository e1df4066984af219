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
    /// Listen address of the operators' HTTP interface, `IP:PORT`. Port 0: any
    /// free port.
    std::string listen_ = "127.0.0.1:0";
    /// Listen address for links from gateways and other controllers, `IP:PORT`.
    std::string links_ = "127.0.0.1:0";
    /// Link addresses of the other controllers to connect to, `IP:PORT`.
    std::vector<std::string> peers_;
    /// Address of the platform's HTTP interface, `IP:PORT`.
    std::string platform_;
    /// Duties to run, by registered name; empty: all registered duties.
    std::vector<std::string> duties_;
    /// Limits of the operators' HTTP server.
    http_server_limits operators_;
    /// Capacity of each queue between the I/O thread and the kernel thread, in
    /// elements.
    std::uint32_t ring_capacity_ = 8192;
    /// Interval between the kernel's tick events.
    duration tick_ = std::chrono::milliseconds{50};
};

/// Reads the settings file that the command line names. A listen address on
/// the command line overrides the one in the file.
/// @throws settings_error if the file cannot be read or a setting is invalid
controller_program_settings
load_controller_settings(server_arguments const& arguments);

} // namespace cuminfold

#endif
