#ifndef CUMINFOLD_KERNEL_REQUEST_REQUEST_ENGINE_HPP
#define CUMINFOLD_KERNEL_REQUEST_REQUEST_ENGINE_HPP

#include "kernel/gateway/claim_manager.hpp"
#include "kernel/gateway/gateway_context.hpp"
#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_registration.hpp"
#include "kernel/gateway/gateway_settings.hpp"
#include "kernel/request/admission_strategy.hpp"
#include "kernel/request/forward_table.hpp"
#include "kernel/request/latency_histogram.hpp"
#include "kernel/request/request_entry.hpp"
#include "kernel/request/request_queue.hpp"
#include "kernel/request/retry_budget.hpp"
#include "kernel/request/retry_strategy.hpp"
#include "kernel/request/routing_strategy.hpp"
#include "kernel/request/team_quota.hpp"
#include "kernel/request/worker_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cuminfold
{

/// Handles callers' requests from arrival to answer: admission, idempotency
/// claims, queues, routing, retries, forwarding and cancellation. Each request
/// gets exactly one answer unless its caller disconnects.
///
/// Each step of one request costs O(log n) in the number of requests and O(w)
/// in the workers of its pool in the own data centre. If no worker here may
/// take the request, the step also reads the registered gateways and the pool's
/// racks. `serve_waiting` visits every pool for which admission was ever
/// checked, and `count_gateways` visits every registered gateway.
class request_engine
{
public:
    /// @throws unknown_strategy if a strategy named in the settings is not
    /// registered.
    request_engine(gateway_settings const& settings, gateway_log const& log,
                   gateway_registration const& registration,
                   claim_manager& claims, worker_table& workers);

    /// Admits a new request, forwards it or refuses it. A request is ignored if
    /// another one with the same id is in progress.
    void submit(gateway_context& context, caller_request const& request);
    /// Cancels the request of a caller that disconnected or cancelled. Work
    /// dispatched under a claim runs on, and its answer is recorded.
    void on_caller_disconnected(gateway_context& context,
                                request_id const& request);
    /// Answers, retries or ends the request whose dispatch ended.
    void on_dispatch_result(gateway_context& context,
                            dispatch_result const& result);
    /// Dispatches the request if its claim was won; else answers it as a
    /// repeat of the claim that won.
    void on_claim_resolved(gateway_context& context,
                           claim_resolution const& resolution);

    /// Handles expired timers: deadlines, attempt timeouts, retry delays,
    /// claims that were not resolved in time, and queued requests whose
    /// deadline has become unreachable.
    void expire(gateway_context& context);

    /// Dispatches queued requests of every pool to workers with free slots. The
    /// requests of a pool without workers are forwarded or refused.
    void serve_waiting(gateway_context& context);

    /// Refuses all further requests; those without an answer continue.
    void stop() noexcept
    {
        stopping_ = true;
    }

    /// Recounts the gateways after a change of their registrations. A setting
    /// `gateways_` other than 0 replaces the count of the own data centre.
    void count_gateways();

    /// Number of requests that are in progress.
    std::size_t open() const noexcept
    {
        return requests_.size();
    }

private:
    /// Statistics of one service on this gateway.
    struct service_stats
    {
        /// Time from dispatch to answer.
        latency_histogram run_time_;
        /// When a request was last admitted as a probe.
        time_point probed_at_{};
    };

    // Arrival, in request_engine.cpp.
    /// Null if the request id is already in progress.
    request_entry* add(gateway_context& context, caller_request const& request);
    /// Resolves the service's settings into the entry.
    /// @return the reason to refuse the request; empty: none.
    std::optional<reason> validate(gateway_context& context,
                                   request_entry& entry);
    // The checks return true if the request may continue; else it was
    // forwarded or answered, and the entry may no longer exist.
    bool check_workers(gateway_context& context, request_entry& entry);
    bool check_claim(gateway_context& context, request_entry& entry);
    bool check_quota(gateway_context& context, request_entry& entry);
    bool check_admission(gateway_context& context, request_entry& entry);
    /// Refuses the last queued request of the lowest class that has any, among
    /// the classes below that of `entry`.
    /// @return false if there is none.
    bool evict_lower_class(gateway_context& context,
                           request_entry const& entry);
    /// Answers a request whose key is already claimed.
    void answer_repeat(gateway_context& context, request_entry& entry,
                       claim_status verdict);
    admission_view make_admission_view(gateway_context const& context,
                                       request_entry const& entry);
    /// Expected time in the queue: 0 if the queue is empty and a worker can
    /// take the request now. Else it is the service time queued before the
    /// request plus the request's own run time, divided by this gateway's share
    /// of the pool's slots.
    duration predict_wait(time_point now, request_entry const& entry);
    /// Compares the time since arrival, which includes the time of the claim,
    /// with the predicted time in the queue. It does so only for a queued
    /// request that was not dispatched before.
    void record_wait(time_point now, request_entry const& entry);
    /// @param at_front Places the request ahead of its class, for an attempt
    /// that is repeated.
    void dispatch_or_enqueue(gateway_context& context, request_entry& entry,
                             bool at_front);
    /// Forwards or refuses a queued request that no worker here can serve.
    void reroute(gateway_context& context, request_entry& entry);

    // Dispatches, in request_dispatch.cpp.
    /// @return false if no worker can take the request now.
    bool dispatch(gateway_context& context, request_entry& entry);
    /// Null if no worker can take the request now.
    worker_entry* choose(time_point now, request_entry const& entry);
    /// When the current attempt times out. This is the request's deadline,
    /// unless another attempt may follow and has enough time before it.
    time_point attempt_deadline(time_point now, request_entry const& entry);
    /// @param gateway Null: there is none to forward to.
    /// @return false if the request was not forwarded.
    bool forward(gateway_context& context, request_entry& entry,
                 gateway_entry const* gateway);
    void finish_worker(gateway_context& context, request_entry& entry,
                       dispatch_result const& result);
    void finish_forward(gateway_context& context, request_entry& entry,
                        dispatch_result const& result);
    /// Updates the worker's load and health by a dispatch that ended.
    void record_worker_result(gateway_context& context,
                              request_entry const& entry,
                              dispatch_result const& result);
    /// Dispatches a request again, or puts it back at the front of its class,
    /// after a full worker refused it.
    /// @return false if the request may not wait again.
    bool requeue(gateway_context& context, request_entry& entry);
    /// Schedules another attempt, if the strategy, the pool's workers and the
    /// retry budget allow it.
    bool retry(gateway_context& context, request_entry& entry, reason cause);
    bool has_other_worker(time_point now, request_entry const& entry);
    void on_attempt_timeout(gateway_context& context, request_entry& entry);
    /// Cancels the dispatch in flight; the request may have run.
    void close_attempt(gateway_context& context, request_entry& entry);

    // Answers. Each of them erases the entry.
    void answer(gateway_context& context, request_entry& entry,
                dispatch_result const& result);
    /// Refuses the request if no worker started it; else reports its outcome as
    /// unknown.
    void end_unanswered(gateway_context& context, request_entry& entry,
                        reason cause, duration retry_after);
    void end_unanswered(gateway_context& context, request_entry& entry,
                        reason cause);
    void erase(request_entry& entry);
    /// How long the caller should wait before it tries again: `wait`, but at
    /// least the option `retry_after_floor_`, plus a random delay of at most
    /// that option; 0: a later try does not help.
    /// @param wait Predicted time in the queue; 0: none is known.
    duration retry_after(reason cause, duration wait);

    void set_timer(request_entry& entry, time_point at);
    void clear_timer(request_entry& entry);
    void leave_queue(request_entry& entry);
    void on_timer(gateway_context& context, request_entry& entry);
    service_stats& stats(service_name const& service)
    {
        return services_[service];
    }
    /// Mean measured run time; the declared one until there are enough samples.
    duration expected_run_time(service_name const& service);
    retry_budget& budget(pool_name const& pool);
    /// Null if the configuration does not define the service.
    service_spec const* find_service(service_name const& service) const;

    gateway_settings const* settings_;
    request_options const* options_;
    gateway_log const* log_;
    gateway_registration const* registration_;
    claim_manager* claims_;
    worker_table* workers_;
    std::unique_ptr<routing_strategy> routing_;
    std::unique_ptr<admission_strategy> admission_;
    std::unique_ptr<retry_strategy> retry_;
    std::mt19937_64 random_;

    std::unordered_map<request_number, request_entry> requests_;
    std::unordered_map<request_id, request_number> numbers_;
    std::unordered_map<dispatch_number, request_number> dispatches_;
    /// Pending timers of requests, by time.
    std::set<std::pair<time_point, request_number>> timers_;
    std::map<pool_name, request_queue> queues_;
    std::map<pool_name, retry_budget> budgets_;
    std::map<service_name, service_stats> services_;
    /// Time from arrival to dispatch or expiry in the queue, in thousandths of
    /// the predicted time in the queue.
    std::map<pool_name, latency_histogram> wait_ratios_;
    team_quota quotas_;
    forward_table forwards_;
    request_number next_request_ = 1;
    dispatch_number next_dispatch_ = 1;
    std::uint32_t gateways_in_data_centre_ = 1;
    std::uint32_t gateways_total_ = 1;
    bool stopping_ = false;
};

} // namespace cuminfold

#endif
