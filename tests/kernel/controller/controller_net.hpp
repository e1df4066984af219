#ifndef CUMINFOLD_TESTS_KERNEL_CONTROLLER_CONTROLLER_NET_HPP
#define CUMINFOLD_TESTS_KERNEL_CONTROLLER_CONTROLLER_NET_HPP

#include "config/merge_files.hpp"
#include "kernel/controller/controller_kernel.hpp"
#include "kernel/log/fake_log.hpp"
#include "wire/state_codec.hpp"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cuminfold
{

/// Simulates controllers, and readers in the role of gateways, that share one
/// log, in virtual time. A test can remove nodes, make the log unavailable to
/// all nodes or make it unreachable for one.
class controller_net
{
public:
    using name = std::string;

    struct node
    {
        std::unique_ptr<controller_kernel> kernel_;
        std::unique_ptr<fleet_view> reader_;
        incarnation self_;
        data_centre_name data_centre_;
        /// Controller through which a reader reads the log.
        name controller_;
        bool reaches_log_ = true;
    };

    std::vector<std::string> duties_ = {"log_relay", "snapshots"};
    duration link_delay_ = std::chrono::milliseconds{1};
    duration log_delay_ = std::chrono::milliseconds{2};
    std::map<stream_name, fake_log> logs_;
    std::map<name, node> nodes_;
    std::map<reason, std::uint64_t> counts_;
    std::map<std::uint64_t, operator_reply> replies_;
    std::uint64_t platform_reads_ = 0;
    std::uint64_t platform_appends_ = 0;
    std::uint32_t snapshot_entries_ = 1000000;
    bool log_down_ = false;

    time_point now() const
    {
        return now_;
    }

    controller_kernel& kernel(name const& of)
    {
        return *nodes_.at(of).kernel_;
    }

    void add_controller(name const& id, std::string const& data_centre)
    {
        controller_settings settings;
        settings.self_ = {node_id{id}, ++incarnations_};
        settings.data_centre_ = data_centre_name{data_centre};
        settings.address_ = id + ":1";
        settings.snapshot_codec_ = make_state_codec();
        settings.snapshot_entries_ = snapshot_entries_;
        settings.seed_ = incarnations_;
        node& added = nodes_[id];
        added = node{};
        added.self_ = settings.self_;
        added.data_centre_ = settings.data_centre_;
        added.kernel_ = std::make_unique<controller_kernel>(
            settings, &merge_files, duties_);
        for (auto& [other, peer] : nodes_)
        {
            if (other != id && peer.kernel_)
            {
                send_hello(id, other);
                send_hello(other, id);
            }
        }
    }

    void add_reader(name const& id, name const& controller)
    {
        node& added = nodes_[id];
        added = node{};
        added.self_ = {node_id{id}, ++incarnations_};
        added.controller_ = controller;
        added.reader_ = std::make_unique<fleet_view>(
            log_tail_options{}, &merge_files, make_state_codec(), false);
    }

    void remove(name const& id)
    {
        nodes_.erase(id);
        for (auto& [other, peer] : nodes_)
        {
            if (peer.kernel_)
            {
                post(other, peer_disconnected{node_id{id}}, link_delay_);
            }
        }
    }

    /// Requests a change of one file, as an operator would.
    /// @param expected expected revision of the file; `no_offset` for a new one
    void change(name const& at, std::uint64_t ticket, std::string const& file,
                std::string const& text, log_offset expected)
    {
        config_change change;
        change.author_ = at;
        change.edits_.push_back({file_name{file}, false, text, expected});
        post(at, operator_change{ticket, change}, duration{0});
    }

    /// Schedules an event for a node after `delay`.
    void post(name const& to, controller_event event, duration delay)
    {
        events_.emplace(now_ + delay, std::make_pair(to, std::move(event)));
    }

    /// Runs for `length` of virtual time; each node gets a tick every 20 ms.
    void run(duration length)
    {
        run_until([] { return false; }, length);
    }

    /// Runs until `done()` holds, for at most `limit` of virtual time.
    /// @return the virtual time that passed
    template <class Condition>
    duration run_until(Condition&& done, duration limit)
    {
        time_point const start = now_;
        while (now_ < start + limit && !done())
        {
            bool const event_next =
                !events_.empty() && events_.begin()->first <= next_tick_;
            if (event_next)
            {
                auto const at = events_.begin();
                now_ = std::max(now_, at->first);
                auto const item = std::move(at->second);
                events_.erase(at);
                handle(item.first, item.second);
            }
            else
            {
                now_ = next_tick_;
                next_tick_ += std::chrono::milliseconds{20};
                tick_all();
            }
        }
        return now_ - start;
    }

private:
    /// A read that the platform's log holds until entries arrive or the read's
    /// wait time is over.
    struct held_read
    {
        name node_;
        std::optional<relay_read> relayed_;
        log_read read_;
        time_point deadline_;
    };

    void send_hello(name const& from, name const& to)
    {
        node const& sender = nodes_.at(from);
        hello greeting;
        greeting.node_ = sender.self_;
        greeting.data_centre_ = sender.data_centre_;
        greeting.address_ = from + ":1";
        post(to, peer_message{sender.self_, message{greeting}}, link_delay_);
    }

    void tick_all()
    {
        std::vector<name> names;
        for (auto const& item : nodes_)
        {
            names.push_back(item.first);
        }
        for (auto const& id : names)
        {
            handle(id, tick{});
        }
        complete_reads();
    }

    void handle(name const& at, controller_event const& event)
    {
        auto const found = nodes_.find(at);
        if (found == nodes_.end())
        {
            return;
        }
        if (found->second.reader_)
        {
            handle_at_reader(at, found->second, event);
            return;
        }
        for (auto& action : found->second.kernel_->handle(now_, event))
        {
            std::visit([&](auto& item) { perform(at, found->second, item); },
                       action);
        }
    }

    void handle_at_reader(name const& at, node& self,
                          controller_event const& event)
    {
        if (auto const* received = std::get_if<peer_message>(&event))
        {
            auto const* result =
                std::get_if<relayed_read_result>(&received->message_.body_);
            if (result != nullptr)
            {
                self.reader_->take(now_, result->result_);
            }
        }
        for (auto& read : self.reader_->poll(now_))
        {
            post(self.controller_,
                 peer_message{self.self_, message{relayed_read{1, read}}},
                 link_delay_);
        }
        (void)at;
    }

    /// Ignores actions that the simulation does not model.
    template <class Other>
    void perform(name const&, node&, Other&)
    {
    }

    void perform(name const&, node& self, send_message& outgoing)
    {
        post(outgoing.to_.text(), peer_message{self.self_, outgoing.message_},
             link_delay_);
    }

    void perform(name const&, node&, operator_reply& reply)
    {
        replies_[reply.ticket_] = reply;
    }

    void perform(name const&, node&, count_reason& event)
    {
        ++counts_[event.cause_];
    }

    void perform(name const& at, node&, log_read& request)
    {
        read({at, std::nullopt, request, now_ + request.wait_});
    }

    void perform(name const& at, node&, relay_read& request)
    {
        read({at, request, request.read_, now_ + request.read_.wait_});
    }

    void perform(name const& at, node& self, log_append& request)
    {
        post(at, append(self, request), 2 * log_delay_);
    }

    void perform(name const& at, node& self, relay_append& request)
    {
        post(at,
             relay_append_done{request.peer_, request.ticket_,
                               append(self, request.append_)},
             2 * log_delay_);
    }

    log_append_result append(node const& self, log_append const& request)
    {
        log_append_result result;
        result.stream_ = request.stream_;
        result.ticket_ = request.ticket_;
        result.status_ = log_append_status::rejected;
        if (self.reaches_log_ && !log_down_)
        {
            ++platform_appends_;
            result.offset_ = logs_[request.stream_].append(request.records_);
            result.status_ = log_append_status::appended;
            complete_reads();
        }
        return result;
    }

    void read(held_read request)
    {
        node const& self = nodes_.at(request.node_);
        if (!self.reaches_log_ || log_down_)
        {
            log_read_result unavailable;
            unavailable.stream_ = request.read_.stream_;
            unavailable.from_ = request.read_.from_;
            answer(request, unavailable);
            return;
        }
        ++platform_reads_;
        held_reads_.push_back(std::move(request));
        complete_reads();
    }

    void complete_reads()
    {
        for (auto held = held_reads_.begin(); held != held_reads_.end();)
        {
            auto const result = logs_[held->read_.stream_].read(held->read_);
            bool const empty = result.status_ == log_read_status::ok &&
                               result.entries_.empty();
            if (empty && now_ < held->deadline_)
            {
                ++held;
                continue;
            }
            answer(*held, result);
            held = held_reads_.erase(held);
        }
    }

    void answer(held_read const& request, log_read_result const& result)
    {
        if (request.relayed_)
        {
            post(request.node_,
                 relay_read_done{request.relayed_->peer_,
                                 request.relayed_->ticket_, result},
                 2 * log_delay_);
        }
        else
        {
            post(request.node_, result, 2 * log_delay_);
        }
    }

    time_point now_{std::chrono::seconds{1000}};
    time_point next_tick_{std::chrono::seconds{1000}};
    std::multimap<time_point, std::pair<name, controller_event>> events_;
    std::list<held_read> held_reads_;
    std::uint64_t incarnations_ = 0;
};

} // namespace cuminfold

#endif
