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

/// How a fake worker behaves.
enum class worker_mode
{
    normal,  ///< answers after the run time
    failing, ///< ends each run after 1 ms with an error
    hanging, ///< starts runs and never answers
    gone     ///< unreachable
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

/// Kind of answer that a caller received.
enum class outcome_kind
{
    none,     ///< no answer yet
    answered, ///< the run succeeded
    failed,   ///< a complete reply that reports a failed run
    kept,     ///< the stored answer of an earlier run
    refused,  ///< the request did not run
    unknown   ///< the request may have run
};

/// The outcome of one caller's request.
struct caller_outcome
{
    outcome_kind kind_ = outcome_kind::none;
    reason cause_ = reason::total;
    duration retry_after_{0};
    /// Time from the submission to the outcome.
    duration took_{0};
    /// Number of outcomes that the caller received; more than one is a fault.
    int times_ = 0;
};

/// Simulates several gateways with a fake log, fake workers and fake callers in
/// virtual time. A run is deterministic for a given seed.
class gateway_world
{
public:
    explicit gateway_world(std::uint64_t seed, gateway_settings base = {});

    /// Adds a serving VM of pool `p` and returns its index.
    std::size_t add_vm(std::string const& data_centre, std::string const& rack,
                       std::uint32_t slots = 8);
    /// Adds a gateway and returns its index.
    std::size_t add_gateway(std::string const& data_centre);
    /// From now on the gateway receives and sends nothing.
    void kill_gateway(std::size_t index);

    /// Advances the virtual time, with a tick for each gateway every 1 ms.
    void run_for(duration time);

    /// Submits a request to a gateway and returns its id.
    request_id submit(std::size_t gateway, caller_request request);
    /// Delivers an event to a gateway and performs the resulting actions.
    void send(std::size_t gateway, gateway_event const& event);

    /// Appends a record to the stream `fleet`, written by the controller.
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
    /// Runs that workers started for a key, or for the id of a request without
    /// a key.
    std::uint64_t runs(std::string const& name) const;
    /// Runs that workers started for one request.
    std::uint64_t runs_of(request_id const& request) const;
    /// Number of times that the gateways counted the reason.
    std::uint64_t counted(reason cause) const
    {
        return reasons_[static_cast<std::size_t>(cause)];
    }

    std::vector<fake_worker> workers_;
    intended_state intended_;
    /// Draws the run time of a request.
    std::function<duration(std::mt19937_64&)> run_time_;
    duration link_delay_ = std::chrono::microseconds{250};
    duration log_delay_ = std::chrono::milliseconds{5};
    bool log_down_ = false;
    /// Share of appends whose reply is lost, 0 to 1.
    double lost_replies_ = 0;
    /// Share of worker replies that are lost, 0 to 1.
    double lost_worker_replies_ = 0;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds{1000}};
    std::vector<log_entry> const& stream(stream_name const& name)
    {
        return streams_[name];
    }
    /// Gateways whose stop is complete.
    std::set<std::size_t> stopped_;

private:
    struct fake_gateway
    {
        std::unique_ptr<gateway_kernel> kernel_;
        std::string address_;
        bool alive_ = true;
    };
    /// Events at the same time happen in the order of their scheduling.
    struct scheduled_event
    {
        time_point at_;
        std::uint64_t order_;
        std::function<void()> action_;
        bool operator<(scheduled_event const& other) const
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };
    /// A read at the end of a stream, held until an append or its wait is over.
    struct pending_read
    {
        std::size_t gateway_;
        log_read read_;
        time_point until_;
    };
    /// Where a request comes from.
    struct origin
    {
        /// The key, or the id of a request without a key.
        std::string name_;
        /// The request that the caller submitted.
        request_id root_;
        time_point since_;
        /// The gateway that forwarded the request, if any.
        std::optional<std::size_t> forwarder_;
        dispatch_number dispatch_ = 0;
    };

    void schedule(duration delay, std::function<void()> action);
    /// Returns true with the probability `share`.
    bool draw(double share);
    void perform(std::size_t gateway, gateway_action const& action);
    void act(std::size_t gateway, log_read const& action);
    void act(std::size_t gateway, log_append const& action);
    void act(std::size_t gateway, dispatch_to_worker const& action);
    void act(std::size_t gateway, forward_to_gateway const& action);
    void act(std::size_t gateway, close_dispatch const& action);
    void act(std::size_t gateway, send_answer const& action);
    void act(std::size_t gateway, send_kept_answer const& action);
    void act(std::size_t gateway, send_refusal const& action);
    void act(std::size_t gateway, send_unknown const& action);
    void act(std::size_t gateway, send_job const& action);
    void act(std::size_t gateway, report_hint const& action);
    void act(std::size_t gateway, count_gateway_reason const& action);
    void act(std::size_t gateway, gateway_stopped const& action);
    void append(stream_name const& stream, std::vector<record> records);
    void answer_read(std::size_t gateway, log_read const& read);
    void start_run(std::size_t gateway, dispatch_to_worker const& action);
    void reply(std::size_t gateway, dispatch_result result);
    /// Gives the outcome to the caller, or to the gateway that forwarded the
    /// request.
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
