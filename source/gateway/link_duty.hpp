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

/// The thread of the links to controllers: the log, hints and what
/// controllers tell.
class link_duty
{
public:
    link_duty(metrics& counters, std::size_t ring_capacity);

    /// The thread that the actions below are put on, by the kernel's thread.
    io_thread& thread()
    {
        return io_;
    }

    /// Connects the thread with the kernel's and with the controllers; before
    /// either runs.
    void attach(kernel_loop& kernel, std::size_t ring_capacity,
                hello const& self, std::vector<std::string> const& controllers);

    void act(log_read& what);
    void act(log_append& what);
    void act(report_hint& what);

private:
    /// Messages of controllers that wait at most; later ones are dropped.
    static constexpr std::size_t waiting_limit = 4096;

    void take(message what);

    metrics& metrics_;
    io_thread io_;
    std::unique_ptr<relay_client> relay_;
    kernel_loop::input* input_ = nullptr;
};

} // namespace cuminfold

#endif
