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

/// Controllers, and readers that stand for gateways, around one log, in
/// virtual time. Links, the log and its reach can be cut.
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
        /// A reader's controller.
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

    void add_controller(name const& called, std::string const& centre)
    {
        controller_settings settings;
        settings.self_ = {node_id{called}, ++incarnations_};
        settings.data_centre_ = data_centre_name{centre};
        settings.address_ = called + ":1";
        settings.snapshot_codec_ = make_state_codec();
        settings.snapshot_entries_ = snapshot_entries_;
        settings.seed_ = incarnations_;
        node& fresh = nodes_[called];
        fresh = node{};
        fresh.self_ = settings.self_;
        fresh.data_centre_ = settings.data_centre_;
        fresh.kernel_ = std::make_unique<controller_kernel>(
            settings, &merge_files, duties_);
        for (auto& [other, peer] : nodes_)
        {
            if (other != called && peer.kernel_)
            {
                greet(called, other);
                greet(other, called);
            }
        }
    }

    void add_reader(name const& called, name const& controller)
    {
        node& fresh = nodes_[called];
        fresh = node{};
        fresh.self_ = {node_id{called}, ++incarnations_};
        fresh.controller_ = controller;
        fresh.reader_ = std::make_unique<fleet_view>(
            log_tail_options{}, &merge_files, make_state_codec(), false);
    }

    void remove(name const& called)
    {
        nodes_.erase(called);
        for (auto& [other, peer] : nodes_)
        {
            if (peer.kernel_)
            {
                post(other, peer_disconnected{node_id{called}}, link_delay_);
            }
        }
    }

    void change(name const& at, std::uint64_t ticket, std::string const& file,
                std::string const& text, log_offset expected)
    {
        config_change change;
        change.author_ = at;
        change.edits_.push_back({file_name{file}, false, text, expected});
        post(at, operator_change{ticket, change}, duration{0});
    }

    void post(name const& to, controller_event event, duration delay)
    {
        events_.emplace(now_ + delay, std::make_pair(to, std::move(event)));
    }

    /// Runs for a time, with a tick of each node every 20 ms.
    void run(duration length)
    {
        run_until([] { return false; }, length);
    }

    /// Runs until a condition holds, at most for a time.
    /// @return the time that it took
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
    struct parked_read
    {
        name node_;
        std::optional<relay_read> relayed_;
        log_read read_;
        time_point until_;
    };

    void greet(name const& from, name const& to)
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
        for (auto const& each : names)
        {
            handle(each, tick{});
        }
        wake_readers();
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
            read_through(at, found->second, event);
            return;
        }
        for (auto& action : found->second.kernel_->handle(now_, event))
        {
            std::visit([&](auto& what) { act(at, found->second, what); },
                       action);
        }
    }

    void read_through(name const& at, node& self, controller_event const& event)
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

    template <class Other>
    void act(name const&, node&, Other&)
    {
    }

    void act(name const&, node& self, send_message& what)
    {
        post(what.to_.text(), peer_message{self.self_, what.message_},
             link_delay_);
    }

    void act(name const&, node&, operator_reply& what)
    {
        replies_[what.ticket_] = what;
    }

    void act(name const&, node&, count_reason& what)
    {
        ++counts_[what.cause_];
    }

    void act(name const& at, node&, log_read& what)
    {
        read({at, std::nullopt, what, now_ + what.wait_});
    }

    void act(name const& at, node&, relay_read& what)
    {
        read({at, what, what.read_, now_ + what.read_.wait_});
    }

    void act(name const& at, node& self, log_append& what)
    {
        post(at, append(self, what), 2 * log_delay_);
    }

    void act(name const& at, node& self, relay_append& what)
    {
        post(at,
             relay_append_done{what.peer_, what.ticket_,
                               append(self, what.append_)},
             2 * log_delay_);
    }

    log_append_result append(node const& self, log_append const& what)
    {
        log_append_result result;
        result.stream_ = what.stream_;
        result.ticket_ = what.ticket_;
        result.status_ = log_append_status::rejected;
        if (self.reaches_log_ && !log_down_)
        {
            ++platform_appends_;
            result.offset_ = logs_[what.stream_].append(what.records_);
            result.status_ = log_append_status::appended;
            wake_readers();
        }
        return result;
    }

    void read(parked_read what)
    {
        node const& self = nodes_.at(what.node_);
        if (!self.reaches_log_ || log_down_)
        {
            log_read_result none;
            none.stream_ = what.read_.stream_;
            none.from_ = what.read_.from_;
            answer(what, none);
            return;
        }
        ++platform_reads_;
        parked_.push_back(std::move(what));
        wake_readers();
    }

    void wake_readers()
    {
        for (auto place = parked_.begin(); place != parked_.end();)
        {
            auto const result = logs_[place->read_.stream_].read(place->read_);
            bool const nothing = result.status_ == log_read_status::ok &&
                                 result.entries_.empty();
            if (nothing && now_ < place->until_)
            {
                ++place;
                continue;
            }
            answer(*place, result);
            place = parked_.erase(place);
        }
    }

    void answer(parked_read const& what, log_read_result const& result)
    {
        if (what.relayed_)
        {
            post(what.node_,
                 relay_read_done{what.relayed_->peer_, what.relayed_->ticket_,
                                 result},
                 2 * log_delay_);
        }
        else
        {
            post(what.node_, result, 2 * log_delay_);
        }
    }

    time_point now_{std::chrono::seconds{1000}};
    time_point next_tick_{std::chrono::seconds{1000}};
    std::multimap<time_point, std::pair<name, controller_event>> events_;
    std::list<parked_read> parked_;
    std::uint64_t incarnations_ = 0;
};

} // namespace cuminfold

#endif
