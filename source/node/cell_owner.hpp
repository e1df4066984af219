#ifndef CUMINFOLD_NODE_CELL_OWNER_HPP
#define CUMINFOLD_NODE_CELL_OWNER_HPP

#include "kernel/cell/adaptive_timeout.hpp"
#include "kernel/cell/cell.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/fleet_plan.hpp"
#include "kernel/cell/owner_record.hpp"
#include "kernel/cell/workspace_access.hpp"
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
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cuminfold
{

/// Runs a cell under an epoch that this node has claimed: loads the cell from
/// the store, appends its batches and carries out its actions.
///
/// The owner stops and calls `on_lost` once the store reports a higher epoch
/// or an append of this epoch that this owner did not send. All calls are made
/// on the thread of the I/O context.
///
/// The functions that carry out actions are in `cell_owner_orders.cpp`. Those
/// that load the cell and append to the store are in `cell_owner_store.cpp`.
class cell_owner : public std::enable_shared_from_this<cell_owner>
{
public:
    /// Objects of the node that the owner uses; they must outlive it.
    struct environment
    {
        boost::asio::io_context& context_;
        node_settings const& settings_;
        platform::store_client& store_;
        platform::worker_client& workers_;
        platform::vm_client& vm_client_;
        platform::advice_client& advice_;
        config_follower& config_;
        decision_log& log_;
        metrics& metrics_;
    };

    /// @param record the claimed epoch, and this node's name and address
    /// @param store_latency the store's response time as this node has measured
    /// it; the timeout of appends starts from it
    /// @param on_lost called at most once, when ownership is lost; not called
    /// after `stop()` or `resign()`
    cell_owner(environment environment, owner_record record,
               duration store_latency,
               std::function<void(char const* cause)> on_lost);

    /// Starts to load the cell; it is served once its content, the workers'
    /// entries and a configuration have been read.
    void start();
    /// Stops and records the resignation in the store. Calls `done` when the
    /// append of the resignation has ended, whatever its outcome.
    void resign(std::function<void()> done);
    /// Issues no more orders and answers all open calls: `unavailable` if the
    /// cell has not seen the call, else `unknown`.
    void stop();

    /// Answers a client's call, once. Calls that arrive while the cell is
    /// loading wait for it, at most 2000 of them; further ones get
    /// `unavailable`.
    void call(client_call call, std::function<void(client_answer)> done);

    /// Applies the configuration and waves that the config follower holds.
    void on_config_changed();

    /// The cell has been loaded and this owner has not resigned. It stays true
    /// after `stop()`, when calls are refused.
    bool serving() const noexcept
    {
        return serving_;
    }
    /// When the epoch was last known to be the newest: the time of `start()`,
    /// later the time at which the last successful append to the cell's
    /// partition was sent. Heartbeats do not count.
    cell const& jobs() const noexcept
    {
        return cell_;
    }
    time_point confirmed_at() const noexcept
    {
        return confirmed_at_;
    }
    owner_epoch epoch() const noexcept
    {
        return record_.epoch_;
    }

private:
    /// A call that waits for the cell to be loaded.
    struct early_call
    {
        client_call call_;
        std::function<void(client_answer)> done_;
    };

    /// An answer that a newer owner could contradict.
    struct unproven_answer
    {
        answer_client action_;
        time_point decided_at_;
    };

    void load();
    void on_content_read(platform::topic_content const& content);
    void serve_if_ready();
    /// Records how late the timer fired, as a measure of the owner's load.
    void observe_delay(duration delay);
    /// Runs `pump()` after the current event, once even if it is called
    /// several times before.
    void post_pump();
    /// Sends heartbeats and confirms the epoch. Once the cell is loaded, lets
    /// the cell and the fleet plan decide, and carries out their decisions.
    void pump();
    void arm_timer();
    void append_batch();
    void send_batch();
    void on_batch_response(platform::append_result const& result,
                           time_point sent);
    /// The store will never accept the batch. Sends its records one by one, so
    /// that the one at fault doesn't hold up the others.
    void on_batch_rejected(platform::append_result const& result);
    /// Sends the next record of a batch that was rejected.
    /// @return false if there is none
    bool send_rest();
    /// Checks that the epoch is still the newest by an empty append to the
    /// cell's partition, at intervals or if an answer waits for it. Sends none
    /// while a batch is in flight, because its response confirms the epoch too.
    void confirm_epoch();
    platform::append_call next_heartbeat_call() const;
    /// Renews the owner record in the store with a new heartbeat number, so
    /// that other nodes see that the owner runs. Unlike `confirm_epoch()`, it
    /// appends to the owner topic and does not change `confirmed_at()`.
    void send_heartbeat();
    /// Updates the append timeout and the confirmation time from the result
    /// of any append to the cell's partition; see also `check_fenced()`.
    void on_append_response(platform::append_result const& result,
                            time_point sent);
    /// Calls a member function after a pause, unless the owner has stopped.
    void call_later(duration pause, void (cell_owner::*step)());
    /// Ends ownership if the append was fenced or out of sequence.
    void check_fenced(platform::append_result const& result);
    void end_ownership(char const* cause);
    void run_actions();
    void run(answer_client const& action);
    void reply(std::uint64_t exchange, client_answer const& answer);
    /// Sends the answers that were decided before the epoch was confirmed.
    void send_proven_answers();
    void run(start_run const& action);
    void run(stop_run const& action);
    void run(renew_worker const& action);
    void run(query_advice const& action);
    void run(log_decision const& action);
    /// The epoch was confirmed recently enough to order VMs. Checked again
    /// immediately before each order: the process may have been suspended
    /// since the order was decided.
    bool can_order_vms() const;
    void run(list_vms const& action);
    void run(maintain_vm const& action);
    void run(move_vm const& action);
    void run(report_wave const& action);
    /// Routes a call to the cell, which must be loaded.
    void dispatch(client_call call, std::function<void(client_answer)> done);
    client_answer make_refusal(answer_kind kind, char const* cause) const;
    /// Refuses a call that a configuration of unknown age can't answer. During
    /// an outage of the store the client is told when to come back.
    client_answer refuse_as_stale(char const* cause, time_point now) const;
    /// Refuses a call that may not use its queue.
    client_answer refuse_access(access_decision const& access,
                                time_point now) const;

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
    /// Maximum event delay since the last `owner_load` log line.
    duration max_delay_{0};
    time_point next_load_log_{};

    platform::append_call batch_;
    /// The remaining records of a batch that was rejected.
    std::deque<platform::keyed_record> batch_rest_;
    bool batch_in_flight_ = false;
    /// Sequence number of the newest batch.
    std::uint64_t sequence_ = 0;
    duration batch_retry_pause_{0};
    adaptive_timeout append_timeout_;
    time_point confirmed_at_{};
    bool confirm_in_flight_ = false;
    time_point next_confirm_{};
    bool heartbeat_in_flight_ = false;
    time_point next_heartbeat_{};
    /// Sequence number of the last heartbeat that was stored.
    std::uint64_t heartbeat_sequence_ = 0;

    /// An exchange is the number of a client's call that awaits its answer.
    std::uint64_t next_exchange_ = 1;
    /// Calls that the cell has not answered, by exchange.
    std::unordered_map<std::uint64_t, std::function<void(client_answer)>>
        exchanges_;
    /// In order of time. That a job is unknown is answered only after the epoch
    /// was confirmed: a newer owner may have accepted the job.
    std::deque<unproven_answer> unproven_answers_;
    std::vector<early_call> early_calls_;
};

} // namespace cuminfold

#endif
