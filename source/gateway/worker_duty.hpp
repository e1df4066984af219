#ifndef CUMINFOLD_GATEWAY_WORKER_DUTY_HPP
#define CUMINFOLD_GATEWAY_WORKER_DUTY_HPP

#include "gateway/exchange_store.hpp"
#include "gateway/kernel_loop.hpp"
#include "transport/http_client.hpp"
#include "transport/io_thread.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace cuminfold
{

/// The I/O thread of HTTP to workers and other gateways: sends dispatches and
/// reports to the kernel how each one ended.
class worker_duty
{
public:
    worker_duty(exchange_store& exchanges, http_client_limits limits,
                std::size_t ring_capacity);

    /// The thread that runs `act()`; the kernel's thread queues the calls.
    io_thread& thread()
    {
        return io_;
    }

    /// Connects this thread to the kernel's. Call before either thread starts.
    void attach(kernel_loop& kernel, std::size_t ring_capacity);

    /// Sends a request to a worker.
    void act(dispatch_to_worker const& what);
    /// Sends a request to another gateway.
    void act(forward_to_gateway const& what);
    /// Cancels a dispatch, without reporting a result for it.
    void act(close_dispatch const& what);

private:
    /// A dispatch that has not ended.
    struct open_dispatch
    {
        request_id request_;
        std::uint64_t call_ = 0;
        bool forwarded_ = false;
    };

    void start(dispatch_number number, open_dispatch open, http_call call);
    void finish(dispatch_number number, http_result reply);
    void report_not_sent(dispatch_number number);
    void keep_reply(dispatch_result& result, request_id const& request,
                    http_response reply);

    exchange_store& exchanges_;
    io_thread io_;
    http_client client_;
    kernel_loop::input* input_ = nullptr;
    std::map<dispatch_number, open_dispatch> open_;
};

} // namespace cuminfold

#endif
