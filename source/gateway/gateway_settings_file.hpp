#ifndef CUMINFOLD_GATEWAY_GATEWAY_SETTINGS_FILE_HPP
#define CUMINFOLD_GATEWAY_GATEWAY_SETTINGS_FILE_HPP

#include "kernel/gateway/gateway_settings.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/program.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// All settings of the gateway program.
struct gateway_program_settings
{
    log_settings log_;
    gateway_settings kernel_;
    /// Address for callers, `IP:PORT`; port 0 picks a free port.
    std::string listen_ = "127.0.0.1:0";
    /// Link addresses of the controllers of the gateway's data centre,
    /// `IP:PORT`.
    std::vector<std::string> controllers_;
    http_server_limits callers_;
    http_client_limits workers_;
    /// Capacity of each ring between the kernel's thread and an I/O thread, and
    /// the number of queued actions above which the kernel accepts no new work.
    std::uint32_t ring_capacity_ = 8192;
    /// Limit on the total size of the bodies of open requests and their
    /// replies.
    std::uint32_t body_store_bytes_ = 128 * 1024 * 1024;
    duration tick_ = std::chrono::milliseconds{5};
    /// Time that a stop waits for the requests in flight.
    duration stop_limit_ = std::chrono::seconds{60};
};

/// Reads the settings file. A listen address in `arguments` overrides the one
/// in the file.
/// @throws settings_error
gateway_program_settings
load_gateway_settings(server_arguments const& arguments);

} // namespace cuminfold

#endif
