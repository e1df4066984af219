#ifndef CUMINFOLD_CONTROLLER_WORKER_CLIENT_HPP
#define CUMINFOLD_CONTROLLER_WORKER_CLIENT_HPP

#include "kernel/controller/controller_action.hpp"
#include "kernel/controller/controller_event.hpp"
#include "transport/http_client.hpp"

#include <functional>

namespace cuminfold
{

/// Speaks the workers' HTTP interface for controllers: probes and tasks.
class worker_client
{
public:
    explicit worker_client(http_client& http);

    void probe(probe_vm const& what, std::function<void(probe_result)> done);
    void call(call_task const& what,
              std::function<void(task_call_result)> done);

private:
    http_client& http_;
};

} // namespace cuminfold

#endif
