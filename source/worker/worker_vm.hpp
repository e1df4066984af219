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

/// Settings of one stand-in VM.
struct worker_vm_settings
{
    vm_id vm_;
    data_centre_name data_centre_;
    rack_name rack_;
    vm_shape shape_;
    std::string listen_ = "127.0.0.1:0";
    /// Mean of the exponentially distributed run times; zero: runs end at once.
    duration run_time_{0};
    /// Time after a reboot request during which the VM refuses all requests.
    duration reboot_time_{0};
};

/// Stand-in for one worker VM. It simulates requests and tasks with timers,
/// limits them to the VM's slots and keeps all state in memory.
class worker_vm
{
public:
    /// @param seed seed of the generator that draws run times
    worker_vm(boost::asio::io_context& context, worker_vm_settings settings,
              std::uint64_t seed);

    /// Starts listening and returns the bound address.
    std::string listen();

    worker_vm_settings const& settings() const noexcept
    {
        return settings_;
    }

    /// The VM's entry in the platform's list of VMs.
    nlohmann::json describe(std::string const& address) const;

    /// Stops the HTTP server and calls `done` once it has stopped.
    void stop(std::function<void()> done);

private:
    /// One attempt of a job.
    struct task
    {
        /// `running`, `finished`, `stopped`, `lapsed` or `lost`.
        std::string state_ = "running";
        std::string checkpoint_;
        /// Finishes the task after its run time.
        std::shared_ptr<boost::asio::steady_timer> timer_;
        /// Ends the task as `lapsed` unless the lease is renewed.
        std::shared_ptr<boost::asio::steady_timer> lease_;
    };

    void handle(std::uint64_t exchange, http_request request,
                http_responder respond);
    void on_disconnect(std::uint64_t exchange);
    void run_request(std::uint64_t exchange, std::string const& service,
                     http_request const& request,
                     http_responder const& respond);
    /// Responds to a run unless the VM rebooted after the run started.
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
    /// Counts a refusal and returns a 503 response marked as not started.
    http_response refuse(http_request const& request, std::string body);
    http_response make_reply(unsigned status, http_request const& request,
                             std::string body) const;
    /// Number of slots in use.
    std::uint32_t busy() const;
    /// Draws an exponentially distributed run time and applies the slowdown.
    duration draw_run_time(duration mean);

    boost::asio::io_context& context_;
    worker_vm_settings settings_;
    worker_faults faults_;
    std::unique_ptr<http_server> server_;
    std::mt19937_64 random_;
    /// Incremented by each reboot.
    std::uint64_t boot_ = 1;
    bool rebooting_ = false;
    std::uint32_t running_ = 0;
    /// Exchanges that the `hang_` fault leaves unanswered. Each holds a slot
    /// until its caller disconnects.
    std::set<std::uint64_t> hanging_;
    /// Tasks by `JOB/ATTEMPT`.
    std::map<std::string, task> tasks_;
    /// Number of runs by idempotency key; tasks count under their job.
    std::map<std::string, std::uint32_t> runs_by_key_;
    std::uint64_t runs_ = 0;
    std::uint64_t refused_ = 0;
    /// Requests and tasks that reboots interrupted.
    std::uint64_t interrupted_ = 0;
    std::uint64_t reboots_ = 0;
    /// Requests whose callers disconnected before the response.
    std::uint64_t abandoned_ = 0;
};

} // namespace cuminfold

#endif
