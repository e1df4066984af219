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

/// The thread of the callers' HTTP: reads requests, hands them to the kernel
/// and writes each caller's answer.
class caller_duty
{
public:
    caller_duty(exchange_store& exchanges, metrics& counters,
                http_server_limits const& limits, incarnation const& self,
                std::size_t ring_capacity);

    /// The thread that the actions below are put on, by the kernel's thread.
    io_thread& thread()
    {
        return io_;
    }

    /// Listens on `IP:PORT` and returns the address bound.
    std::string listen(std::string const& address);

    /// Connects the thread with the kernel's; before either runs.
    void attach(kernel_loop& kernel, std::size_t ring_capacity);

    /// Answers go out with `Connection: close` from now on; any thread.
    void leave();

    /// Closes the connections once they are answered; any thread. `done` is
    /// called on this thread.
    void stop(std::function<void()> done);

    void act(send_answer const& what);
    void act(send_kept_answer& what);
    void act(send_refusal const& what);
    void act(send_unknown const& what);
    /// Called on the kernel's thread, which reads the job.
    void put_job(send_job const& what, fleet_state const& fleet);

private:
    /// A caller that waits for its answer.
    struct waiting_caller
    {
        std::uint64_t exchange_ = 0;
        http_responder respond_;
        /// What the answer's `Cuminfold-Request-Id` says.
        std::string echo_;
        time_point since_;
    };

    http_handler make_handler();
    void take(std::uint64_t exchange, http_request request,
              http_responder respond);
    void take_request(std::uint64_t exchange, http_request http,
                      std::string const& service, http_responder respond);
    void take_job(std::uint64_t exchange, http_request const& http,
                  std::string const& service, http_responder respond);
    void take_cancel(std::uint64_t exchange, http_request const& http,
                     std::string const& job, http_responder respond);
    void read_job(std::string const& job, http_responder const& respond);
    void answer_readiness(http_responder const& respond);
    void answer_metrics(http_responder const& respond);
    void take_gone(std::uint64_t exchange);
    void refuse_form(http_request const& http, std::string const& what,
                     http_responder const& respond);
    void hand_over(request_id const& id, http_request const& http,
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
