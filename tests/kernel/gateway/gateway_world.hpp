#ifndef CUMINFOLD_TESTS_KERNEL_GATEWAY_GATEWAY_WORLD_HPP
#define CUMINFOLD_TESTS_KERNEL_GATEWAY_GATEWAY_WORLD_HPP

#include "kernel/gateway/gateway_kernel.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// How a fake worker treats the requests that it starts.
enum class worker_mode
{
    normal,
    failing, ///< ends each at once with an error
    hanging, ///< never answers
    gone     ///< cannot be reached
};

/// A fake worker VM.
struct fake_worker
{
    vm_id vm_;
    rack_name rack_;
    worker_mode mode_ = worker_mode::normal;
    std::uint32_t slots_ = 8;
    std::uint32_t busy_ = 0;
    std::uint32_t max_busy_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t refused_ = 0;
    bool leaving_ = false;
};

/// What a caller got.
enum class outcome_kind
{
    none,
    answered,
    failed, ///< a whole reply that says that the run failed
    kept,
    refused,
    unknown
};

struct caller_outcome
{
    outcome_kind kind_ = outcome_kind::none;
    reason cause_ = reason::total;
    duration retry_after_{0};
    duration took_{0};
    /// Outcomes given; more than one is a fault.
    int times_ = 0;
};

/// Several gateways with a fake log, fake workers and fake callers, in virtual
/// time. Everything follows from the seed.
class gateway_world
{
public:
    explicit gateway_world(std::uint64_t seed, gateway_settings base = {});

    /// Adds a serving VM of pool `p` and returns its index.
    std::size_t add_vm(std::string const& data_centre, std::string const& rack,
                       std::uint32_t slots = 8);
    std::size_t add_gateway(std::string const& data_centre);
    /// From now on it neither hears nor says anything.
    void kill_gateway(std::size_t index);

    /// Lets time pass.
    void run_for(duration time);

    /// Hands a request to a gateway and returns its number.
    request_id submit(std::size_t gateway, caller_request request);
    void send(std::size_t gateway, gateway_event const& event);

    /// Appends a record of the fleet by another writer.
    void write_fleet(record_body body);

    caller_outcome const& outcome(request_id const& request)
    {
        return outcomes_[request];
    }
    std::map<request_id, caller_outcome> const& outcomes() const
    {
        return outcomes_;
    }
    gateway_kernel& kernel(std::size_t index)
    {
        return *gateways_[index].kernel_;
    }
    /// Runs that workers started, by the caller's key or request.
    std::uint64_t runs(std::string const& name) const;
    /// Runs that workers started for that very request.
    std::uint64_t runs_of(request_id const& request) const;
    std::uint64_t counted(reason cause) const
    {
        return reasons_[static_cast<std::size_t>(cause)];
    }

    std::vector<fake_worker> workers_;
    intended_state intended_;
    /// Run time of a request.
    std::function<duration(std::mt19937_64&)> run_time_;
    duration link_delay_ = std::chrono::microseconds{250};
    duration log_delay_ = std::chrono::milliseconds{5};
    bool log_down_ = false;
    /// Share of appends whose reply is lost.
    double lost_replies_ = 0;
    /// Share of worker replies that are lost.
    double lost_worker_replies_ = 0;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds{1000}};
    std::vector<log_entry> const& stream(stream_name const& name)
    {
        return streams_[name];
    }
    std::set<std::size_t> stopped_;

private:
    struct fake_gateway
    {
        std::unique_ptr<gateway_kernel> kernel_;
        std::string address_;
        bool alive_ = true;
    };
    struct scheduled_event
    {
        time_point at_;
        std::uint64_t order_;
        std::function<void()> what_;
        bool operator<(scheduled_event const& other) const
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };
    struct pending_read
    {
        std::size_t gateway_;
        log_read read_;
        time_point until_;
    };
    struct origin
    {
        std::string name_;
        /// The caller's own request.
        request_id root_;
        time_point since_;
        /// Set for a request that another gateway forwarded.
        std::optional<std::size_t> forwarder_;
        dispatch_number dispatch_ = 0;
    };

    void after(duration delay, std::function<void()> what);
    bool draw(double share);
    void perform(std::size_t gateway, gateway_action const& action);
    void act(std::size_t gateway, log_read const& what);
    void act(std::size_t gateway, log_append const& what);
    void act(std::size_t gateway, dispatch_to_worker const& what);
    void act(std::size_t gateway, forward_to_gateway const& what);
    void act(std::size_t gateway, close_dispatch const& what);
    void act(std::size_t gateway, send_answer const& what);
    void act(std::size_t gateway, send_kept_answer const& what);
    void act(std::size_t gateway, send_refusal const& what);
    void act(std::size_t gateway, send_unknown const& what);
    void act(std::size_t gateway, send_job const& what);
    void act(std::size_t gateway, report_hint const& what);
    void act(std::size_t gateway, count_gateway_reason const& what);
    void act(std::size_t gateway, gateway_stopped const& what);
    void append(stream_name const& stream, std::vector<record> records);
    void answer_read(std::size_t gateway, log_read const& read);
    void start_run(std::size_t gateway, dispatch_to_worker const& what);
    void reply(std::size_t gateway, dispatch_result result);
    void end(request_id const& request, caller_outcome outcome);

    gateway_settings base_;
    std::vector<fake_gateway> gateways_;
    std::map<stream_name, std::vector<log_entry>> streams_;
    std::vector<pending_read> pending_reads_;
    std::priority_queue<scheduled_event> scheduled_events_;
    std::uint64_t next_order_ = 0;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_sequence_ = 1;
    std::map<request_id, origin> origins_;
    std::map<request_id, caller_outcome> outcomes_;
    std::map<std::pair<std::size_t, dispatch_number>, dispatch_end> ends_;
    std::map<std::string, std::uint64_t> runs_;
    std::map<request_id, std::uint64_t> request_runs_;
    std::array<std::uint64_t, reason_count> reasons_{};
};

} // namespace cuminfold

#endif
