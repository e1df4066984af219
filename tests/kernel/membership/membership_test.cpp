#include "kernel/membership/membership.hpp"

#include "property.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cuminfold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

member_update make_news(std::string const& name, std::string const& centre,
                        std::uint64_t number = 1)
{
    member_update news;
    news.node_ = {node_id{name}, number};
    news.data_centre_ = data_centre_name{centre};
    news.address_ = name + ":1";
    return news;
}

hello make_hello(member_update const& news)
{
    hello greeting;
    greeting.node_ = news.node_;
    greeting.role_ = news.role_;
    greeting.data_centre_ = news.data_centre_;
    greeting.address_ = news.address_;
    return greeting;
}

/// Nodes that exchange heartbeats, each step one interval long.
struct net
{
    void add(std::string const& name, std::string const& centre,
             std::uint64_t number = 1)
    {
        updates_[name] = make_news(name, centre, number);
        nodes_.erase(name);
        nodes_.emplace(name, membership{updates_[name]});
        for (auto& [other, node] : nodes_)
        {
            if (other != name)
            {
                node.linked(now_, make_hello(updates_[name]));
                nodes_.at(name).linked(now_, make_hello(updates_[other]));
            }
        }
    }

    void step()
    {
        now_ += milliseconds{500};
        for (auto& [from, node] : nodes_)
        {
            if (paused_.count(from) != 0)
            {
                continue;
            }
            for (auto const& sent : node.poll(now_, {config_[from], 0}, true))
            {
                deliver(from, sent.to_.text(), std::get<heartbeat>(sent.body_));
            }
        }
    }

    void deliver(std::string const& from, std::string const& to,
                 heartbeat const& beat)
    {
        if (cut_.count({from, to}) != 0 || paused_.count(to) != 0 ||
            nodes_.count(to) == 0)
        {
            return;
        }
        bytes_ += 64 + beat.updates_.size() * 64;
        if (nodes_.at(to).take(now_, beat) && cut_.count({to, from}) == 0)
        {
            nodes_.at(to).take(
                now_, nodes_.at(from).full(now_, {config_[from], 0}, true));
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
        }
    }

    member_status status(std::string const& at, std::string const& of)
    {
        auto const& members = nodes_.at(at).members();
        auto const found = members.find(node_id{of});
        return found == members.end() ? member_status::left
                                      : found->second.status_;
    }

    time_point now_{seconds{100}};
    std::map<std::string, member_update> updates_;
    std::map<std::string, membership> nodes_;
    std::map<std::string, log_offset> config_;
    std::set<std::string> paused_;
    std::set<std::pair<std::string, std::string>> cut_;
    std::size_t bytes_ = 0;
};

net make_net()
{
    net n;
    for (auto const* name : {"a1", "a2", "a3"})
    {
        n.add(name, "a");
    }
    for (auto const* name : {"b1", "b2"})
    {
        n.add(name, "b");
    }
    n.run(10);
    return n;
}

} // namespace

TEST_CASE("a paused controller is suspected, and refutes when it is back")
{
    auto n = make_net();
    n.paused_.insert("a2");
    n.run(8);
    CHECK(n.status("a1", "a2") == member_status::suspected);
    CHECK(n.nodes_.at("a1").controllers().size() == 2);
    n.paused_.clear();
    n.run(4);
    CHECK(n.status("a1", "a2") == member_status::alive);
    CHECK(n.status("a3", "a2") == member_status::alive);
    CHECK(n.nodes_.at("a2").controllers().size() == 3);
}

TEST_CASE("a replaced VM takes the place of its earlier incarnation")
{
    auto n = make_net();
    n.add("a2", "a", 2);
    n.run(10);
    for (auto const* name : {"a1", "a3", "b1"})
    {
        CAPTURE(name);
        auto const& members = n.nodes_.at(name).members();
        CHECK(members.at(node_id{"a2"}).node_.number_ == 2);
    }
}

TEST_CASE("an asymmetric cut leaves the ranks of the hearing side whole")
{
    auto n = make_net();
    // a1 hears nothing of a2; a2 hears a1.
    n.cut_.insert({"a2", "a1"});
    n.run(12);
    CHECK(n.status("a2", "a1") == member_status::alive);
    CHECK(n.status("a3", "a2") == member_status::alive);
    n.cut_.clear();
    n.run(4);
    CHECK(n.status("a1", "a2") == member_status::alive);
}

TEST_CASE("two nodes with one name or address are counted")
{
    struct row
    {
        char const* name_;
        char const* address_;
        std::uint64_t number_;
    };
    for (auto const& row : {row{"a1", "x:1", 7}, row{"a9", "a2:1", 1}})
    {
        CAPTURE(row.name_);
        auto n = make_net();
        auto news = make_news(row.name_, "a", row.number_);
        news.address_ = row.address_;
        n.nodes_.at("a1").learn(n.now_, news);
        CHECK(n.nodes_.at("a1").duplicates() == 1);
    }
}

TEST_CASE("all agree on the ranks, and each name has one first")
{
    auto n = make_net();
    for (int i = 0; i < 20; ++i)
    {
        std::set<std::uint32_t> ranks;
        for (auto const* name : {"a1", "a2", "a3"})
        {
            ranks.insert(n.nodes_.at(name).rank(std::to_string(i)));
        }
        CHECK(ranks == std::set<std::uint32_t>{0, 1, 2});
    }
}

TEST_CASE("applied offsets reach controllers of other data centres")
{
    auto n = make_net();
    n.config_["b2"] = 17;
    n.run(8);
    for (auto const* name : {"a1", "a2", "a3", "b1"})
    {
        CAPTURE(name);
        CHECK(n.nodes_.at(name).members().at(node_id{"b2"}).config_next_ == 17);
    }
}

TEST_CASE("a data centre that nobody hears grows silent, and is heard again")
{
    auto n = make_net();
    for (auto const* a : {"a1", "a2", "a3"})
    {
        for (auto const* b : {"b1", "b2"})
        {
            n.cut_.insert({a, b});
            n.cut_.insert({b, a});
        }
    }
    n.run(20);
    data_centre_name const b{"b"};
    CHECK(n.now_ - *n.nodes_.at("a1").last_heard(b) >= seconds{9});
    n.cut_.clear();
    n.run(3);
    CHECK(n.now_ - *n.nodes_.at("a1").last_heard(b) <= seconds{2});
}

TEST_CASE("a quiet membership sends no news")
{
    auto n = make_net();
    n.run(20);
    n.bytes_ = 0;
    n.run(10);
    std::size_t const beats = n.bytes_ / 64;
    CHECK(n.bytes_ % 64 == 0);
    // 6 within a, 2 within b, at most 2 x 2 + 2 x 3 between them, per step.
    CHECK(beats <= 180);
}

TEST_CASE("over any cuts and pauses, members agree once these are over")
{
    check_property(
        "converge",
        [](std::vector<std::uint16_t> const& draws)
        {
            auto n = make_net();
            std::vector<std::string> const names = {"a1", "a2", "a3", "b1",
                                                    "b2"};
            for (auto const draw : draws)
            {
                auto const& a = names[draw % 5];
                auto const& b = names[draw / 5 % 5];
                switch (draw / 25 % 5)
                {
                case 0:
                    n.cut_.insert({a, b});
                    break;
                case 1:
                    n.cut_.erase({a, b});
                    break;
                case 2:
                    n.paused_.insert(a);
                    break;
                case 3:
                    n.paused_.erase(a);
                    break;
                default:
                    n.config_[a] += draw;
                    break;
                }
                n.step();
            }
            n.cut_.clear();
            n.paused_.clear();
            for (auto const& name : names)
            {
                // Links are made anew.
                n.add(name, name.substr(0, 1), n.updates_[name].node_.number_);
            }
            n.run(12);
            for (auto const& a : names)
            {
                for (auto const& b : names)
                {
                    RC_ASSERT((n.status(a, b) == member_status::alive));
                }
                RC_ASSERT(n.nodes_.at(a).digest() ==
                          n.nodes_.at("a1").digest());
            }
        });
}
