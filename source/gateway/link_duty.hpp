#ifndef CUMINFOLD_GATEWAY_LINK_DUTY_HPP
#define CUMINFOLD_GATEWAY_LINK_DUTY_HPP

#include "gateway/kernel_loop.hpp"
#include "gateway/relay_client.hpp"
#include "transport/io_thread.hpp"
#include "transport/metrics.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace cuminfold
{

/// The I/O thread of the links to controllers: reads and appends to the log,
/// sends hints and passes the controllers' messages to the kernel.
class link_duty
{
public:
    link_duty(metrics& counters, std::size_t ring_capacity);

    /// The thread that runs `act()`; the kernel's thread queues the calls.
    io_thread& thread()
    {
        return io_;
    }

    /// Connects this thread to the kernel's and sets up the links to
    /// `controllers` (`IP:PORT`). Call before either thread starts.
    void attach(kernel_loop& kernel, std::size_t ring_capacity,
                hello const& self, std::vector<std::string> const& controllers);

    void act(log_read& what);
    void act(log_append& what);
    void act(report_hint& what);

private:
    /// Maximum number of events queued for the kernel; while it is reached,
    /// messages from controllers are dropped.
    static constexpr std::size_t max_waiting_events = 4096;

    void on_controller_message(message what);

    metrics& metrics_;
    io_thread io_;
    std::unique_ptr<relay_client> relay_;
    kernel_loop::input* input_ = nullptr;
};

} // namespace cuminfold

#endif
