#ifndef CUMINFOLD_NODE_CELL_OWNER_HPP
#define CUMINFOLD_NODE_CELL_OWNER_HPP

#include "kernel/cell/adaptive_timeout.hpp"
#include "kernel/cell/cell.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/fleet_plan.hpp"
#include "kernel/cell/owner_record.hpp"
#include "node/config_follower.hpp"
#include "node/decision_log.hpp"
#include "node/node_settings.hpp"
#include "node/worker_follower.hpp"
#include "platform/advice_client.hpp"
#include "platform/store_client.hpp"
#include "platform/vm_client.hpp"
#include "platform/worker_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminfold
{

/// Runs the cell of an epoch that this node has taken: loads it from the
/// store, appends its batches and carries its orders out.
///
/// Ends by `lost`: another epoch was seen, or the partition holds what this
/// owner has not written.
class cell_owner : public std::enable_shared_from_this<cell_owner>
{
public:
    struct environment
    {
        boost::asio::io_context& context_;
        node_settings const& settings_;
        platform::store_client& store_;
        platform::worker_client& workers_;
        platform::vm_client& machines_;
        platform::advice_client& advice_;
        config_follower& config_;
        decision_log& log_;
        metrics& metrics_;
    };

    cell_owner(environment environment, owner_record record,
               std::function<void(char const* cause)> lost);

    void start();
    /// Gives no more orders and tells the store so; calls `done` in the end.
    void resign(std::function<void()> done);
    void stop();

    /// Answers a client's call, once.
    void call(client_call call, std::function<void(client_answer)> done);

    void on_config_changed();

    bool serving() const noexcept
    {
        return serving_;
    }
    /// When the epoch was last known to be the newest.
    time_point confirmed_at() const noexcept
    {
        return confirmed_at_;
    }
    owner_epoch epoch() const noexcept
    {
        return record_.epoch_;
    }

private:
    struct early_call
    {
        client_call call_;
        std::function<void(client_answer)> done_;
    };

    void load();
    void on_content_read(platform::topic_content const& content);
    void serve_if_ready();
    void observe_delay(duration delay);
    void post_pump();
    void pump();
    void arm_timer();
    void append_batch();
    void send_batch();
    void on_batch_response(platform::append_result const& result,
                           time_point sent);
    void confirm_epoch();
    platform::append_call next_heartbeat_call() const;
    void send_heartbeat();
    /// Takes what any append to the cell's partition tells.
    void on_append_response(platform::append_result const& result,
                            time_point sent);
    /// Calls that member after a pause, unless this owner has ended by then.
    void call_later(duration pause, void (cell_owner::*step)());
    void check_fenced(platform::append_result const& result);
    void end_ownership(char const* cause);
    void run_actions();
    void run(answer_client const& action);
    void run(start_run const& action);
    void run(stop_run const& action);
    void run(renew_worker const& action);
    void run(query_advice const& action);
    void run(log_decision const& action);
    bool can_order_vms() const;
    void run(list_vms const& action);
    void run(maintain_vm const& action);
    void run(move_vm const& action);
    void run(report_wave const& action);
    void dispatch(client_call call, std::function<void(client_answer)> done);
    client_answer make_refusal(answer_kind kind, char const* cause) const;

    environment environment_;
    owner_record record_;
    std::function<void(char const*)> on_lost_;
    cell cell_;
    fleet_plan fleet_;
    std::unique_ptr<worker_follower> follower_;
    boost::asio::steady_timer timer_;
    bool content_ready_ = false;
    bool workers_ready_ = false;
    bool serving_ = false;
    bool stopped_ = false;
    bool pump_posted_ = false;
    bool overloaded_ = false;
    /// Of its events, since the last note of it.
    duration max_delay_{0};
    time_point next_load_log_{};

    platform::append_call batch_;
    bool batch_in_flight_ = false;
    std::uint64_t sequence_ = 0;
    duration batch_retry_pause_{0};
    adaptive_timeout append_timeout_;
    time_point confirmed_at_{};
    bool confirm_in_flight_ = false;
    time_point next_confirm_{};
    bool heartbeat_in_flight_ = false;
    time_point next_heartbeat_{};
    std::uint64_t heartbeat_sequence_ = 0;

    std::uint64_t next_exchange_ = 1;
    std::unordered_map<std::uint64_t, std::function<void(client_answer)>>
        exchanges_;
    std::vector<early_call> early_calls_;
};

} // namespace cuminfold

#endif
