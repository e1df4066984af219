#ifndef CUMINFOLD_NODE_CLIENT_FRONTEND_HPP
#define CUMINFOLD_NODE_CLIENT_FRONTEND_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/owner_record.hpp"
#include "node/decision_log.hpp"
#include "node/forward_limit.hpp"
#include "node/forward_watch.hpp"
#include "node/node_settings.hpp"
#include "node/peer_api.hpp"
#include "transport/connection_budget.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cuminfold
{

/// Where the owner of the cell can be reached.
struct owner_location
{
    owner_epoch epoch_ = 0;
    std::string address_;
    /// This node is the owner.
    bool local_ = false;
    bool reachable_ = false;
};

/// What a client frontend needs from its node.
struct client_frontend_handler
{
    /// The newest known owner.
    std::function<owner_location()> locate_owner_;
    std::function<void(client_call, std::function<void(client_answer)>)>
        call_local_;
    /// The newest version of the configuration that this node knows of.
    std::function<std::uint64_t()> config_version_;
    /// Whether calls need keys by that configuration.
    std::function<bool()> has_workspaces_;
    /// How long this node has not reached the store; 0 while it does.
    std::function<duration()> store_outage_;
};

/// Accepts client requests and forwards them to the owner of the cell. A
/// request is sent again if the owner does not answer or changes; repeating it
/// is safe, since each job has an id.
class client_frontend
{
public:
    /// @param peers forwards calls
    /// @param checks checks forwarded calls; not `peers`, whose connections may
    /// all wait for answers
    /// @param incarnation of this node's process
    client_frontend(boost::asio::io_context& context, http_client& peers,
                    http_client& checks, std::uint64_t incarnation,
                    client_frontend_handler handler, decision_log& log,
                    metrics& counters, node_settings const& settings,
                    std::shared_ptr<connection_budget> budget);

    /// Listens on `IP:PORT` and returns the address bound.
    /// @throws std::runtime_error which names the address
    std::string listen(std::string const& address);
    /// Sends the requests that the earlier owner has not answered to the new
    /// one.
    void on_owner_changed();
    /// Sets how many calls are forwarded to the owner at a time.
    void set_forward_limit(std::size_t calls);
    /// From now on each answer closes its connection.
    void begin_shutdown();
    /// Answers every open request at once: `unknown` if an owner may have
    /// stored the job, else `unavailable`.
    void abort_all(char const* cause);
    /// Closes the server; calls `done` once all connections are closed.
    void stop(std::function<void()> done);

    /// Requests that have not been answered.
    std::size_t open_requests() const noexcept
    {
        return open_.size();
    }

private:
    struct open_request
    {
        client_call call_;
        std::optional<credential> credential_;
        http_responder respond_;
        time_point received_at_{};
        time_point deadline_{};
        /// Until when the request waits for a reachable owner.
        time_point owner_deadline_{};
        owner_epoch sent_to_epoch_ = 0;
        /// Number of the forwarded call in `forwarded_`; 0: none.
        std::uint64_t forwarded_call_ = 0;
        /// How often a forwarded call of it was lost.
        std::uint32_t lost_calls_ = 0;
        /// Number of the newest attempt; results of earlier ones are ignored.
        std::uint64_t attempt_ = 0;
        bool in_flight_ = false;
        /// Waits for its turn to be forwarded; see `forward_limit`.
        bool waits_for_turn_ = false;
        /// An owner may have stored the job.
        bool maybe_stored_ = false;
        time_point next_attempt_{};
    };

    struct forwarded_call
    {
        std::uint64_t exchange_ = 0;
        owner_epoch epoch_ = 0;
        std::string address_;
        /// Number of the call in `peers_`.
        std::uint64_t peer_call_ = 0;
        time_point sent_at_{};
    };

    void on_request(std::uint64_t exchange, http_request request,
                    http_responder respond);
    void on_rejected(char const* cause);
    /// Sends a request to the present owner, or schedules another attempt if
    /// none is reachable.
    void start_attempt(std::uint64_t exchange);
    /// Forwards the requests whose turn it is.
    void start_waiting();
    void on_attempt_ended(std::uint64_t exchange, std::uint64_t attempt,
                          std::optional<client_answer> const& answer,
                          bool maybe_stored);
    void forward(std::uint64_t exchange, owner_location const& owner,
                 time_point now);
    /// Removes a forwarded call that has ended or was cancelled.
    void remove_forwarded(std::uint64_t call);
    /// Cancels the forwarded call of a request, if any.
    void cancel_forwarded(open_request& open);
    /// Asks the owner which of the calls without an answer it executes.
    void check_forwarded();
    void on_check_ended(check_end end, forwarded_calls const& executing);
    /// Sends the request of a lost call again.
    void repeat_lost_call(std::uint64_t call);
    void finish(std::uint64_t exchange, client_answer const& answer);
    /// Whether no owner is in reach and none can take over at present.
    bool is_without_owner() const;
    void abort_request(std::uint64_t exchange, char const* cause);
    void arm_timer();
    void on_timer();

    http_client& peers_;
    http_client& checks_;
    std::uint64_t incarnation_;
    duration check_timeout_;
    client_frontend_handler handler_;
    decision_log& log_;
    metrics& metrics_;
    boost::asio::steady_timer timer_;
    std::map<std::uint64_t, open_request> open_;
    forward_limit forwards_;
    forward_watch watch_;
    /// By number, also those of requests whose client is gone.
    std::map<std::uint64_t, forwarded_call> forwarded_;
    std::uint64_t last_forwarded_ = 0;
    /// The newest configuration version that an answer was based on; later
    /// requests must be answered from this version or a newer one.
    std::uint64_t config_floor_ = 0;
    bool timer_armed_ = false;
    http_server server_;
};

} // namespace cuminfold

#endif
