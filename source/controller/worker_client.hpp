#ifndef CUMINFOLD_CONTROLLER_WORKER_CLIENT_HPP
#define CUMINFOLD_CONTROLLER_WORKER_CLIENT_HPP

#include "kernel/controller/controller_action.hpp"
#include "kernel/controller/controller_event.hpp"
#include "transport/http_client.hpp"

#include <functional>

namespace cuminfold
{

/// Client of the workers' HTTP interface for controllers: health probes and
/// task operations. All functions are called on the HTTP client's thread.
class worker_client
{
public:
    explicit worker_client(http_client& http);

    /// Requests a worker's status. The result is not `answered_` if the
    /// response is missing, incomplete or malformed, or its status is not 200.
    void probe(probe_vm const& request, std::function<void(probe_result)> done);
    /// Requests an operation on a task. The result is not `replied_` if no
    /// complete response was received, and `accepted_` if the status is below
    /// 300.
    void call(call_task const& request,
              std::function<void(task_call_result)> done);

private:
    http_client& http_;
};

} // namespace cuminfold

#endif
