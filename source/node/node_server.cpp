#include "node/node_server.hpp"

#include "config/settings_file.hpp"
#include "kernel/cell/ownership.hpp"
#include "node/cell_owner.hpp"
#include "node/client_frontend.hpp"
#include "node/config_follower.hpp"
#include "node/file_watch.hpp"
#include "node/forward_limit.hpp"
#include "node/node_clock.hpp"
#include "node/node_records.hpp"
#include "node/node_settings_file.hpp"
#include "node/peer_api.hpp"
#include "platform/store_client.hpp"
#include "platform/vm_client.hpp"
#include "platform/worker_client.hpp"
#include "transport/connection_budget.hpp"
#include "transport/process_memory.hpp"
#include "wire/cell_codec.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr char const* unreadable_record = "node_record_unreadable";

constexpr duration tick = std::chrono::milliseconds{50};
/// A stopping node answers its open requests this long before the limit on its
/// stop, so that no connection is closed without an answer.
constexpr duration abort_margin = std::chrono::milliseconds{200};
/// Interval at which the node checks its settings file for changes and repeats
/// a failed registration.
constexpr duration periodic_check_interval = std::chrono::seconds{1};
/// Enough to send most start requests of one round to a worker in parallel;
/// few enough that the connections to all workers stay below the platform's
/// limit on file descriptors.
constexpr std::size_t max_connections_per_address = 10;

http_client_limits platform_limits()
{
    http_client_limits limits;
    limits.connections_ = max_connections_per_address;
    limits.idle_time_ = std::chrono::seconds{60};
    return limits;
}

/// One ping and one check of forwarded calls are in flight at a time; the other
/// connection may be closing.
constexpr std::size_t ping_connections = 3;

http_client_limits ping_limits()
{
    http_client_limits limits;
    limits.connections_ = ping_connections;
    return limits;
}

http_server_limits health_limits(node_settings const& settings)
{
    http_server_limits limits;
    settings.limit_requests(limits);
    limits.connections_ = settings.max_health_connections_;
    return limits;
}

/// All components of one node process, on a single thread.
class node_server
{
public:
    node_server(node_settings settings, std::string settings_path)
        : settings_(std::move(settings)),
          settings_path_(std::move(settings_path)),
          settings_file_(settings_path_), log_(metrics_),
          http_(context_, platform_limits()), peer_http_(context_, {}),
          ping_http_(context_, ping_limits()),
          store_(http_, settings_.store_address_, settings_.store_timeout_),
          workers_(http_, settings_.worker_timeout_),
          advice_(http_, settings_.advice_address_),
          vm_client_(http_, settings_.machines_address_, settings_.name_,
                     settings_.vm_order_timeout_, settings_.store_timeout_),
          config_(context_, store_, log_, [this] { on_config_changed(); }),
          incarnation_(draw_incarnation()),
          ownership_(make_ownership_options(), node_now()),
          budget_(std::make_shared<connection_budget>(
              settings_.connection_bytes())),
          peers_(context_, make_peer_handler(), settings_, budget_),
          client_frontend_(context_, peer_http_, ping_http_, incarnation_,
                           make_client_frontend_handler(), log_, metrics_,
                           settings_, budget_),
          health_(context_, health_limits(settings_), make_health_handler(),
                  budget_),
          timer_(context_), stop_timer_(context_),
          signals_(context_, SIGTERM, SIGINT, SIGHUP)
    {
        for (auto* const http : {&http_, &peer_http_, &ping_http_})
        {
            http->set_close_observer(
                [this](std::string const& address, std::size_t closed)
                { on_connections_closed(address, closed); });
        }
        store_.set_latency_observer(
            [this](duration response_time)
            { ownership_.store_answered(response_time, node_now()); });
    }

    int run()
    {
        settings_.peers_address_ = peers_.listen(settings_.peers_address_);
        if (settings_.announced_address_.empty())
        {
            settings_.announced_address_ = settings_.peers_address_;
        }
        settings_.clients_address_ =
            client_frontend_.listen(settings_.clients_address_);
        settings_.health_address_ = health_.listen(settings_.health_address_);
        ownership_ = ownership(make_ownership_options(), node_now());
        announce(settings_.clients_address_);
        announce(settings_.health_address_);
        announce(settings_.peers_address_);
        write_log(log_level::info, "started",
                  {{"node", settings_.name_},
                   {"clients", settings_.clients_address_},
                   {"store", settings_.store_address_},
                   {"life", std::to_string(incarnation_)}});
        config_.start();
        register_node();
        await_signal();
        arm_timer();
        context_.run();
        write_log(log_level::info, "stopped", {{"node", settings_.name_}});
        return exit_fine;
    }

private:
    ownership_options make_ownership_options() const
    {
        ownership_options options;
        options.node_ = settings_.name_;
        options.address_ = settings_.announced_address_;
        options.incarnation_ = incarnation_;
        options.cpu_milli_ = settings_.cpu_milli();
        return options;
    }

    /// A call to the address has ended without a response, so that connections
    /// which may be silent, too, were closed.
    void on_connections_closed(std::string const& address, std::size_t closed)
    {
        metrics_.add("cuminfold_unproven_connections_closed_total",
                     static_cast<double>(closed));
        log_.write("unproven_connections_closed",
                   {{"address", address}, {"count", std::to_string(closed)}},
                   node_now());
    }

    peer_handler make_peer_handler()
    {
        peer_handler handler;
        handler.on_ping_ = [this]
        {
            peer_ping ping;
            ping.node_ = settings_.name_;
            ping.incarnation_ = incarnation_;
            ping.epoch_ = ownership_.owner().epoch_;
            ping.owner_address_ = ownership_.owner().address_;
            ping.owning_ = ownership_.owning() && owner_ != nullptr;
            if (owner_)
            {
                ping.unconfirmed_ = node_now() - owner_->confirmed_at();
            }
            return ping;
        };
        handler.on_call_ =
            [this](client_call call, std::function<void(client_answer)> done)
        { call_owner(std::move(call), std::move(done)); };
        handler.on_metrics_ = [this]
        {
            metrics_.set("cuminfold_log_lines_dropped",
                         static_cast<double>(dropped_log_lines()));
            metrics_.set("cuminfold_open_requests",
                         static_cast<double>(client_frontend_.open_requests()));
            set_memory_metrics();
            set_workspace_metrics();
            return metrics_.write();
        };
        handler.on_rejected_ = [this](char const* cause)
        {
            metrics_.add("cuminfold_rejected_total", 1, "cause", cause);
            log_.write("peer_refused", {{"cause", cause}}, node_now());
        };
        return handler;
    }

    void set_memory_metrics()
    {
        metrics_.set("cuminfold_resident_bytes",
                     static_cast<double>(resident_memory()));
        metrics_.set("cuminfold_connection_bytes",
                     static_cast<double>(budget_->used()));
        metrics_.set("cuminfold_connection_limit_bytes",
                     static_cast<double>(budget_->limit()));
        // A node that owns no jobs holds none.
        metrics_.set("cuminfold_job_memory_bytes",
                     owner_ ? static_cast<double>(owner_->jobs().job_memory())
                            : 0);
        metrics_.set(
            "cuminfold_job_memory_limit_bytes",
            owner_ ? static_cast<double>(owner_->jobs().max_job_memory()) : 0);
    }

    /// What each workspace has running. Beyond a number of workspaces, the
    /// others count together, so that a configuration can't add any number of
    /// time series.
    void set_workspace_metrics()
    {
        if (!owner_)
        {
            return;
        }
        constexpr std::size_t max_names = 32;
        struct totals
        {
            double cpu_milli_ = 0;
            double cpu_limit_ = 0;
            double tasks_ = 0;
            double holds_ = 0;
        };
        std::map<std::string, totals> rows;
        for (auto const& item : owner_->jobs().accounts().all())
        {
            auto const& account = item.second;
            auto& row =
                rows[rows.size() < max_names ? item.first.text() : "other"];
            row.cpu_milli_ += static_cast<double>(account.usage().cpu_milli_);
            row.cpu_limit_ += static_cast<double>(account.limit().cpu_milli_);
            row.tasks_ += account.tasks();
            row.holds_ += static_cast<double>(account.holds());
        }
        for (auto const& row : rows)
        {
            auto const set = [&](char const* name, double value)
            { metrics_.set(name, value, "workspace", row.first); };
            set("cuminfold_workspace_cpu_milli", row.second.cpu_milli_);
            set("cuminfold_workspace_cpu_limit_milli", row.second.cpu_limit_);
            set("cuminfold_workspace_tasks", row.second.tasks_);
            set("cuminfold_workspace_holds", row.second.holds_);
        }
    }

    client_frontend_handler make_client_frontend_handler()
    {
        client_frontend_handler handler;
        handler.locate_owner_ = [this] { return locate_owner(); };
        handler.call_local_ =
            [this](client_call call, std::function<void(client_answer)> done)
        { call_owner(std::move(call), std::move(done)); };
        handler.config_version_ = [this] { return config_.config().version_; };
        handler.has_workspaces_ = [this]
        { return config_.config().workspaces_ != nullptr; };
        handler.store_outage_ = [this]
        { return config_.store_outage(node_now()); };
        return handler;
    }

    http_handler make_health_handler()
    {
        http_handler handler;
        handler.request_ = [this](std::uint64_t, http_request const&,
                                  http_responder const& respond)
        {
            bool const ready = is_ready();
            if (ready != reported_ready_)
            {
                reported_ready_ = ready;
                log_.write(
                    ready ? "ready" : "not_ready",
                    {{"epoch", std::to_string(ownership_.owner().epoch_)},
                     {"config", std::to_string(config_.config().version_)}},
                    node_now());
            }
            respond(make_response(ready ? 200 : 503, "text/plain", ""));
        };
        handler.gone_ = [](std::uint64_t) {};
        handler.rejected_ = [this](char const* cause)
        {
            metrics_.add("cuminfold_rejected_total", 1, "cause", cause);
            log_.write("health_refused", {{"cause", cause}}, node_now());
        };
        return handler;
    }

    bool is_ready()
    {
        return !stopping_ && config_.config().version_ != 0 &&
               locate_owner().reachable_;
    }

    owner_location locate_owner()
    {
        owner_location location;
        location.epoch_ = ownership_.owner().epoch_;
        location.address_ = ownership_.owner().address_;
        location.local_ = owner_ != nullptr;
        location.reachable_ =
            location.local_ ||
            (ownership_.reachable(node_now()) && !ownership_.owning());
        return location;
    }

    void call_owner(client_call call, std::function<void(client_answer)> done)
    {
        if (owner_)
        {
            owner_->call(std::move(call), std::move(done));
            return;
        }
        client_answer answer;
        answer.kind_ = answer_kind::unavailable;
        answer.cause_ = "not_owner";
        answer.retry_soon_ = true;
        done(answer);
    }

    void on_config_changed()
    {
        if (owner_)
        {
            owner_->on_config_changed();
        }
    }

    /// Writes the node's address and processor capacity to the store, where
    /// the other nodes read them. Repeated until it succeeds.
    void register_node()
    {
        platform::append_call call;
        call.topic_ = platform::store_topic::owner;
        call.records_.push_back({node_prefix + settings_.name_,
                                 encode_node({settings_.announced_address_,
                                              settings_.cpu_milli()})});
        store_.append(call, duration{0},
                      [this](platform::append_result const& result) {
                          registered_ = result.outcome_ ==
                                        platform::append_outcome::stored;
                      });
    }

    void arm_timer()
    {
        timer_.expires_after(tick);
        timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    on_tick();
                    arm_timer();
                }
            });
    }

    void on_tick()
    {
        auto const now = node_now();
        if (now >= next_periodic_check_)
        {
            next_periodic_check_ = now + periodic_check_interval;
            if (settings_file_.has_changed())
            {
                reload();
            }
            if (!registered_ && now - started_at_ > periodic_check_interval)
            {
                register_node();
            }
        }
        take_ownership_steps();
    }

    void take_ownership_steps()
    {
        auto const now = node_now();
        for (auto step = ownership_.next(now); step != ownership_step::nothing;
             step = ownership_.next(now))
        {
            switch (step)
            {
            case ownership_step::ping_owner:
                ping();
                break;
            case ownership_step::read_record:
                read_record();
                break;
            case ownership_step::take_over:
                take_over();
                break;
            case ownership_step::nothing:
                break;
            }
        }
    }

    void ping()
    {
        auto const epoch = ownership_.owner().epoch_;
        ping_peer(ping_http_, ownership_.owner().address_,
                  settings_.peer_timeout_,
                  [this, epoch](std::optional<peer_ping> const& answer)
                  {
                      if (ownership_.owner().epoch_ == epoch)
                      {
                          answer ? ownership_.ping_answered(*answer, node_now())
                                 : ownership_.ping_failed(node_now());
                          check_owner_change();
                          log_owner_condition();
                      }
                  });
    }

    void read_record()
    {
        store_.read_newest(
            platform::store_topic::owner,
            [this](std::optional<platform::topic_content> const& content)
            {
                if (!content)
                {
                    ownership_.record_unreadable(node_now());
                    return;
                }
                std::optional<owner_record> record;
                std::map<std::string, std::int64_t> nodes;
                for (auto const& each : content->records_)
                {
                    if (!each.value_)
                    {
                        continue;
                    }
                    if (each.key_.rfind(node_prefix, 0) == 0)
                    {
                        auto const node = try_decode(*each.value_, decode_node,
                                                     unreadable_record);
                        nodes[each.key_.substr(
                            std::string(node_prefix).size())] =
                            node ? node->cpu_milli_ : 0;
                    }
                    else if (each.key_ == owner_key)
                    {
                        record = try_decode(*each.value_, decode_owner,
                                            unreadable_record);
                    }
                }
                update_forward_limit(nodes.size());
                ownership_.record_read(record, nodes, node_now());
                // A takeover that waits for the next tick would not see that
                // another node has become the owner since.
                take_ownership_steps();
                check_owner_change();
                log_owner_condition();
            });
    }

    /// Claims the cell's partition by an empty append under the new epoch. This
    /// append alone decides who owns the cell; the epoch of later appends to
    /// the owner's partition only keeps out writers of older epochs.
    void take_over()
    {
        log_owner("takeover_begun");
        platform::append_call call;
        call.topic_ = platform::store_topic::cell;
        call.epoch_ = ownership_.epoch();
        store_.append(call, duration{0},
                      [this](platform::append_result const& result)
                      { on_takeover(result); });
    }

    void on_takeover(platform::append_result const& result)
    {
        auto const now = node_now();
        auto const epoch = ownership_.epoch();
        log_.write(
            "takeover",
            {{"epoch", std::to_string(epoch)},
             {"outcome", result.outcome_ == platform::append_outcome::stored
                             ? "stored"
                             : result.detail_},
             {"store_latency_ms",
              in_milliseconds(ownership_.store_latency(now))}},
            now);
        if (result.outcome_ == platform::append_outcome::fenced)
        {
            ownership_.takeover_failed(true, now);
            return;
        }
        if (result.outcome_ != platform::append_outcome::stored)
        {
            ownership_.takeover_failed(false, now);
            return;
        }
        if (stopping_)
        {
            return;
        }
        ownership_.took_over(now);
        owner_record record;
        record.epoch_ = epoch;
        record.node_ = settings_.name_;
        record.address_ = settings_.announced_address_;
        owner_ = std::make_shared<cell_owner>(
            cell_owner::environment{context_, settings_, store_, workers_,
                                    vm_client_, advice_, config_, log_,
                                    metrics_},
            record, ownership_.store_latency(now),
            [this](char const*) { on_owner_lost(); });
        owner_->start();
        client_frontend_.on_owner_changed();
    }

    void on_owner_lost()
    {
        ownership_.lost(node_now());
        // Destroyed later: the owner's member functions are still on the call
        // stack.
        boost::asio::post(context_, [owner = std::move(owner_)] {});
        owner_.reset();
    }

    void check_owner_change()
    {
        auto const epoch = ownership_.owner().epoch_;
        if (epoch != reported_epoch_)
        {
            reported_epoch_ = epoch;
            log_.write("owner_known",
                       {{"epoch", std::to_string(epoch)},
                        {"address", ownership_.owner().address_}},
                       node_now());
            client_frontend_.on_owner_changed();
        }
    }

    void update_forward_limit(std::size_t nodes)
    {
        if (nodes != known_nodes_)
        {
            known_nodes_ = nodes;
            auto const calls = max_forwarded_calls(nodes);
            client_frontend_.set_forward_limit(calls);
            log_.write("forward_limit",
                       {{"nodes", std::to_string(nodes)},
                        {"calls", std::to_string(calls)}},
                       node_now());
        }
    }

    /// Writes why the owner is replaced or kept.
    void log_owner(char const* event)
    {
        auto const now = node_now();
        log_.write(
            event,
            {{"epoch", std::to_string(ownership_.owner().epoch_)},
             {"condition", condition_name(ownership_.condition())},
             {"unconfirmed_ms", in_milliseconds(ownership_.unconfirmed())},
             {"limit_ms", in_milliseconds(ownership_.confirmation_limit(now))},
             {"store_latency_ms",
              in_milliseconds(ownership_.store_latency(now))}},
            now);
    }

    void log_owner_condition()
    {
        auto const condition = ownership_.condition();
        if (condition != reported_condition_)
        {
            reported_condition_ = condition;
            log_owner("owner_condition");
        }
    }

    void await_signal()
    {
        signals_.async_wait(
            [this](boost::system::error_code error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    reload();
                    await_signal();
                    return;
                }
                begin_shutdown();
            });
    }

    void reload()
    {
        try
        {
            auto const settings = load_node_settings(settings_path_);
            store_.set_address(settings.store_address_);
            vm_client_.set_address(settings.machines_address_);
            advice_.set_address(settings.advice_address_);
            write_log(log_level::info, "reloaded",
                      {{"store", settings.store_address_}});
        }
        catch (settings_error const& error)
        {
            write_log(log_level::error, "reload_failed",
                      {{"error", error.what()}, {"outcome", "kept"}});
        }
    }

    void begin_shutdown()
    {
        stopping_ = true;
        ownership_.leave(node_now());
        write_log(log_level::info, "stopping",
                  {{"open", std::to_string(client_frontend_.open_requests())}});
        client_frontend_.begin_shutdown();
        if (owner_)
        {
            auto const owner = std::move(owner_);
            owner_.reset();
            owner->resign([owner] {});
        }
        earliest_stop_ = node_now() + settings_.stop_time_;
        latest_stop_ = node_now() + settings_.stop_limit_;
        stop_when_idle();
    }

    /// Stops once the load balancer has had time to stop routing to this node
    /// and every request is answered, or when the limit on the stop is reached.
    void stop_when_idle()
    {
        auto const now = node_now();
        if (now >= latest_stop_ - abort_margin)
        {
            client_frontend_.abort_all("stopping");
        }
        bool const done =
            now >= earliest_stop_ && client_frontend_.open_requests() == 0;
        if (done || now >= latest_stop_)
        {
            client_frontend_.stop([] {});
            context_.stop();
            return;
        }
        stop_timer_.expires_after(tick);
        stop_timer_.async_wait([this](boost::system::error_code)
                               { stop_when_idle(); });
    }

    node_settings settings_;
    std::string settings_path_;
    file_watch settings_file_;
    boost::asio::io_context context_{1};
    metrics metrics_;
    decision_log log_;
    http_client http_;
    /// Separate from `http_`: calls to other nodes last up to a client's whole
    /// wait.
    http_client peer_http_;
    /// Separate from `peer_http_`: pings must not wait behind forwarded calls.
    http_client ping_http_;
    platform::store_client store_;
    platform::worker_client workers_;
    platform::advice_client advice_;
    platform::vm_client vm_client_;
    config_follower config_;
    std::uint64_t incarnation_;
    ownership ownership_;
    std::shared_ptr<cell_owner> owner_;
    std::shared_ptr<connection_budget> budget_;
    peer_api peers_;
    client_frontend client_frontend_;
    http_server health_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer stop_timer_;
    time_point earliest_stop_{};
    time_point latest_stop_{};
    boost::asio::signal_set signals_;
    time_point started_at_ = node_now();
    time_point next_periodic_check_{};
    std::uint64_t reported_epoch_ = 0;
    owner_condition reported_condition_ = owner_condition::unknown;
    /// Nodes that were registered when the owner's record was read last.
    std::size_t known_nodes_ = 0;
    bool registered_ = false;
    bool stopping_ = false;
    bool reported_ready_ = false;
};

} // namespace

int run_node(server_arguments const& arguments)
{
    auto const settings = load_node_settings(arguments.config_);
    start_log("cuminfold-node", settings.log_.format_, settings.log_.level_,
              log_target::standard_output);
    node_server server(settings, arguments.config_);
    int const status = server.run();
    // Exits without joining the log library's threads: that may take longer
    // than the platform allows for a stop.
    std::cout.flush();
    std::quick_exit(status);
}

} // namespace cuminfold
