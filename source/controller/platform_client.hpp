#ifndef CUMINFOLD_CONTROLLER_PLATFORM_CLIENT_HPP
#define CUMINFOLD_CONTROLLER_PLATFORM_CLIENT_HPP

#include "kernel/controller/controller_event.hpp"
#include "kernel/log_port.hpp"
#include "transport/http_client.hpp"

#include <functional>
#include <optional>
#include <string>

namespace cuminfold
{

/// Speaks the platform's HTTP interface: log, list of VMs, calls. Each answer
/// comes as the kernel's event; what is not a whole, well-formed answer comes
/// as unavailable or unknown.
class platform_client
{
public:
    platform_client(http_client& http, std::string address);

    void read(log_read const& what, std::function<void(log_read_result)> done);
    void append(log_append const& what,
                std::function<void(log_append_result)> done);
    /// An empty answer means that there was none.
    void list(std::function<void(std::optional<vm_list>)> done);
    void reboot(vm_id const& vm, std::string const& token,
                std::function<void(platform_call_result)> done);

private:
    http_client& http_;
    std::string address_;
};

} // namespace cuminfold

#endif
