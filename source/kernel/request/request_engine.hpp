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

/// Takes callers' requests from their arrival to their one answer: admission,
/// claims, queues, routing, retries, forwarding and cancellation.
///
/// Every event costs O(log n) in the number of requests, and O(w) in the
/// workers of one pool in the own data centre.
class request_engine
{
public:
    /// @throws unknown_strategy
    request_engine(gateway_settings const& settings, gateway_log const& log,
                   gateway_registration const& registration,
                   claim_manager& claims, worker_table& workers);

    void submit(gateway_context& context, caller_request const& request);
    void on_caller_gone(gateway_context& context, request_id const& request);
    void on_dispatch_result(gateway_context& context,
                            dispatch_result const& result);
    void on_claim_settled(gateway_context& context,
                          claim_settlement const& settlement);

    /// Does what is due: deadlines, retries, requests that lost their chance.
    void expire(gateway_context& context);

    /// Serves requests that wait, in every pool.
    void serve_waiting(gateway_context& context);

    /// From now on every new request is refused.
    void stop() noexcept
    {
        stopping_ = true;
    }

    /// The registered gateways have changed.
    void count_gateways();

    /// Requests without an answer.
    std::size_t open() const noexcept
    {
        return requests_.size();
    }

private:
    /// What is learned of one service.
    struct service_stats
    {
        latency_histogram run_time_;
        time_point probed_at_{};
    };

    // Arrival, in request_engine.cpp.
    request_entry* add(gateway_context& context, caller_request const& request);
    std::optional<reason> validate(gateway_context& context,
                                   request_entry& entry);
    bool check_workers(gateway_context& context, request_entry& entry);
    bool check_claim(gateway_context& context, request_entry& entry);
    bool check_quota(gateway_context& context, request_entry& entry);
    bool check_admission(gateway_context& context, request_entry& entry);
    bool evict_lower_class(gateway_context& context,
                           request_entry const& entry);
    void answer_repeat(gateway_context& context, request_entry& entry,
                       claim_verdict verdict);
    admission_view make_admission_view(gateway_context const& context,
                                       request_entry const& entry);
    duration predict_wait(time_point now, request_entry const& entry);
    void record_wait(time_point now, request_entry const& entry);
    void dispatch_or_enqueue(gateway_context& context, request_entry& entry,
                             bool first);
    void reroute(gateway_context& context, request_entry& entry);

    // Dispatches, in request_dispatch.cpp.
    bool dispatch(gateway_context& context, request_entry& entry);
    worker_entry* choose(time_point now, request_entry const& entry);
    time_point attempt_deadline(time_point now, request_entry const& entry);
    bool forward(gateway_context& context, request_entry& entry,
                 gateway_entry const* gateway);
    void finish_worker(gateway_context& context, request_entry& entry,
                       dispatch_result const& result);
    void finish_forward(gateway_context& context, request_entry& entry,
                        dispatch_result const& result);
    void record_worker_result(gateway_context& context,
                              request_entry const& entry,
                              dispatch_result const& result);
    bool requeue(gateway_context& context, request_entry& entry);
    bool retry(gateway_context& context, request_entry& entry, reason cause);
    bool has_other_worker(time_point now, request_entry const& entry);
    void on_attempt_timeout(gateway_context& context, request_entry& entry);
    void close_attempt(gateway_context& context, request_entry& entry);

    // Ends.
    void answer(gateway_context& context, request_entry& entry,
                dispatch_result const& result);
    void end_unanswered(gateway_context& context, request_entry& entry,
                        reason cause, duration retry_after);
    void end_unanswered(gateway_context& context, request_entry& entry,
                        reason cause);
    void erase(request_entry& entry);
    duration retry_after(reason cause, duration wait);

    void set_timer(request_entry& entry, time_point at);
    void clear_timer(request_entry& entry);
    void leave_queue(request_entry& entry);
    void on_timer(gateway_context& context, request_entry& entry);
    service_stats& stats(service_name const& service)
    {
        return services_[service];
    }
    duration expected_run_time(service_name const& service);
    retry_budget& budget(pool_name const& pool);
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
    /// What is due, by time.
    std::set<std::pair<time_point, request_number>> timers_;
    std::map<pool_name, request_queue> queues_;
    std::map<pool_name, retry_budget> budgets_;
    std::map<service_name, service_stats> services_;
    /// Waits that came about, in thousandths of those that were predicted.
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
