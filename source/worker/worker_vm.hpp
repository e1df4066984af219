#ifndef CUMINFOLD_WORKER_WORKER_VM_HPP
#define CUMINFOLD_WORKER_WORKER_VM_HPP

#include "kernel/identifier.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"
#include "transport/http_server.hpp"
#include "worker/worker_faults.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace cuminfold
{

/// How one VM of the stand-in is set up.
struct worker_vm_settings
{
    vm_id vm_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
    std::string listen_ = "127.0.0.1:0";
    /// Mean of the exponential run times.
    duration run_time_{0};
    duration reboot_time_{0};
};

/// One worker VM: runs requests and tasks within its slots, in memory.
class worker_vm
{
public:
    worker_vm(boost::asio::io_context& context, worker_vm_settings settings,
              std::uint64_t seed);

    /// Listens; returns the address bound.
    std::string listen();

    worker_vm_settings const& settings() const noexcept
    {
        return settings_;
    }

    /// What the platform's list says of it.
    nlohmann::json describe(std::string const& address) const;

    /// Stops listening; `done` is called when all is finished.
    void stop(std::function<void()> done);

private:
    struct task
    {
        std::string state_ = "running";
        std::string checkpoint_;
        std::shared_ptr<boost::asio::steady_timer> timer_;
        std::shared_ptr<boost::asio::steady_timer> lease_;
    };

    void handle(std::uint64_t exchange, http_request request,
                http_responder respond);
    void take_gone(std::uint64_t exchange);
    void run_request(std::uint64_t exchange, std::string const& service,
                     http_request const& request,
                     http_responder const& respond);
    void answer_run(std::string const& service, http_request const& request,
                    http_responder const& respond, std::uint64_t boot);
    void call_task(http_request const& request, http_responder const& respond);
    void start_task(std::string const& name, http_request const& request,
                    http_responder const& respond);
    void set_lease(std::string const& name, std::int64_t milliseconds);
    void end_task(std::string const& name, std::string state);
    void answer_status(http_responder const& respond);
    void answer_counts(http_responder const& respond);
    void set_faults(http_request const& request, http_responder const& respond);
    void reboot(http_responder const& respond);
    /// A reply that says that the request was not started.
    http_response refuse(http_request const& request, std::string body);
    http_response make_reply(unsigned status, http_request const& request,
                             std::string body) const;
    std::uint32_t busy() const;
    duration draw_run_time(duration mean);

    boost::asio::io_context& context_;
    worker_vm_settings settings_;
    worker_faults faults_;
    std::unique_ptr<http_server> server_;
    std::mt19937_64 random_;
    std::uint64_t boot_ = 1;
    bool down_ = false;
    std::uint32_t running_ = 0;
    /// Requests that are never answered, until their callers leave.
    std::set<std::uint64_t> hanging_;
    std::map<std::string, task> tasks_;
    /// Runs of each key that callers marked.
    std::map<std::string, std::uint32_t> runs_by_key_;
    std::uint64_t runs_ = 0;
    std::uint64_t refused_ = 0;
    /// Requests and tasks that a reboot cut.
    std::uint64_t cut_ = 0;
    std::uint64_t reboots_ = 0;
    /// Requests whose callers left before the answer.
    std::uint64_t gone_ = 0;
};

} // namespace cuminfold

#endif
