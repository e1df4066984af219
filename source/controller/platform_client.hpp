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

/// Client of the platform's HTTP interface: log streams, VM list and VM
/// operations.
///
/// Each response is passed to the callback as an event of the kernel. All
/// functions are called on the HTTP client's thread.
class platform_client
{
public:
    /// @param address the platform's address, `IP:PORT`
    platform_client(http_client& http, std::string address);

    /// Reads entries of a stream. The result is `unavailable` if the response
    /// is missing, incomplete or malformed, or its status is neither 200 nor
    /// 410.
    void read(log_read const& request,
              std::function<void(log_read_result)> done);
    /// Appends an entry to a stream. The result is `rejected` if the request
    /// was not sent or the platform answered 503, and `unknown` if the append
    /// is neither confirmed nor rejected.
    void append(log_append const& request,
                std::function<void(log_append_result)> done);
    /// Requests the list of VMs. The callback receives `nullopt` if the
    /// response is missing, incomplete or malformed, or its status is not 200.
    void list(std::function<void(std::optional<vm_list>)> done);
    /// Requests a reboot of a VM. The platform executes each token at most
    /// once. The result is not `replied_` if no complete response was received,
    /// and `accepted_` only if its status is 202.
    void reboot(vm_id const& vm, std::string const& token,
                std::function<void(platform_call_result)> done);

private:
    http_client& http_;
    std::string address_;
};

} // namespace cuminfold

#endif
