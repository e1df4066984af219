#ifndef CUMINFOLD_GATEWAY_CALLER_DUTY_HPP
#define CUMINFOLD_GATEWAY_CALLER_DUTY_HPP

#include "gateway/exchange_store.hpp"
#include "gateway/kernel_loop.hpp"
#include "transport/http_server.hpp"
#include "transport/io_thread.hpp"
#include "transport/metrics.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cuminfold
{

/// The I/O thread that serves callers over HTTP: parses their requests, submits
/// them to the kernel and sends the responses.
class caller_duty
{
public:
    caller_duty(exchange_store& exchanges, metrics& counters,
                http_server_limits const& limits, incarnation const& self,
                std::size_t ring_capacity);

    /// The thread that runs `act()`; the kernel's thread queues the calls.
    io_thread& thread()
    {
        return io_;
    }

    /// Listens on `IP:PORT` and returns the bound address.
    /// @throws std::runtime_error which names the address
    std::string listen(std::string const& address);

    /// Connects this thread to the kernel's. Call before either thread starts.
    void attach(kernel_loop& kernel, std::size_t ring_capacity);

    /// Sends all further responses with `Connection: close`. Any thread may
    /// call.
    void leave();

    /// Closes each connection after its outstanding response, and idle ones
    /// after the grace time. Calls `done` on this thread once all are closed.
    /// Any thread may call.
    void stop(std::function<void()> done);

    void act(send_answer const& what);
    void act(send_kept_answer& what);
    void act(send_refusal const& what);
    void act(send_unknown const& what);
    /// Answers a job's submission or cancellation. Called on the kernel's
    /// thread, because it reads the job from the fleet state.
    void answer_job(send_job const& what, fleet_state const& fleet);

private:
    /// A caller whose request is not answered yet.
    struct waiting_caller
    {
        std::uint64_t exchange_ = 0;
        http_responder respond_;
        /// The request's `Cuminfold-Request-Id`, which the response repeats. If
        /// empty, the response has the id that the gateway assigned.
        std::string echo_;
        time_point since_;
    };

    http_handler make_handler();
    void handle(std::uint64_t exchange, http_request request,
                http_responder respond);
    void handle_request(std::uint64_t exchange, http_request http,
                        std::string const& service, http_responder respond);
    void handle_submit_job(std::uint64_t exchange, http_request const& http,
                           std::string const& service, http_responder respond);
    void handle_cancel_job(std::uint64_t exchange, http_request const& http,
                           std::string const& job, http_responder respond);
    void read_job(std::string const& job, http_responder const& respond);
    void answer_readiness(http_responder const& respond);
    void answer_metrics(http_responder const& respond);
    void on_disconnect(std::uint64_t exchange);
    void refuse_malformed(http_request const& http, std::string const& what,
                          http_responder const& respond);
    void submit_to_kernel(request_id const& id, http_request const& http,
                          waiting_caller caller, gateway_event event);
    void refuse(request_id const& id, reason cause);
    void answer(request_id const& id, http_response response);
    request_id next_request_id();

    exchange_store& exchanges_;
    metrics& metrics_;
    incarnation self_;
    io_thread io_;
    http_server server_;
    kernel_loop* kernel_ = nullptr;
    kernel_loop::input* input_ = nullptr;
    std::uint64_t next_request_ = 1;
    std::map<request_id, waiting_caller> waiting_;
    std::map<std::uint64_t, request_id> by_exchange_;
};

} // namespace cuminfold

#endif
