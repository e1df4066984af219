#include "kernel/membership/membership.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// The whole is asked for at most this often.
constexpr duration ask_interval = std::chrono::seconds{2};

/// Whether news of one incarnation go before what is known of it.
bool goes_before(member_update const& news, member_update const& known)
{
    if (news.node_.number_ != known.node_.number_)
    {
        return news.node_.number_ > known.node_.number_;
    }
    if (news.version_ != known.version_)
    {
        return news.version_ > known.version_;
    }
    return news.status_ > known.status_;
}

} // namespace

membership::membership(member_update self, membership_options options)
    : self_(std::move(self)), options_(options)
{
    members_[self_.node_.node_] = self_;
    changed(self_.node_.node_);
}

void membership::learn(time_point, member_update const& news)
{
    if (news.node_.node_ == self_.node_.node_)
    {
        refute(news);
        return;
    }
    if (shares_address(news))
    {
        ++duplicates_;
    }
    accept(news);
}

void membership::accept(member_update const& news)
{
    node_id const& node = news.node_.node_;
    auto const found = members_.find(node);
    if (found == members_.end())
    {
        // A member that is forgotten everywhere must not come back by news.
        if (news.status_ == member_status::alive)
        {
            members_[node] = news;
            changed(node);
        }
        return;
    }
    member_update& known = found->second;
    log_offset const applied =
        news.node_ == known.node_
            ? std::max(known.config_next_, news.config_next_)
            : news.config_next_;
    if (goes_before(news, known))
    {
        known = news;
        known.config_next_ = applied;
        suspected_at_.erase(node);
        changed(node);
    }
    else if (news.node_ == known.node_ && applied != known.config_next_)
    {
        known.config_next_ = applied;
        changed(node);
    }
}

void membership::refute(member_update const& news)
{
    if (news.node_ != self_.node_)
    {
        ++duplicates_;
        return;
    }
    if (news.status_ != member_status::alive && news.version_ >= self_.version_)
    {
        self_.version_ = news.version_ + 1;
        member_update& own = members_[self_.node_.node_];
        own.version_ = self_.version_;
        changed(self_.node_.node_);
    }
}

bool membership::shares_address(member_update const& news) const
{
    return !news.address_.empty() &&
           std::any_of(members_.begin(), members_.end(),
                       [&](auto const& item)
                       {
                           member_update const& other = item.second;
                           return other.node_.node_ != news.node_.node_ &&
                                  other.address_ == news.address_ &&
                                  other.status_ == member_status::alive &&
                                  news.status_ == member_status::alive;
                       });
}

void membership::changed(node_id const& node)
{
    changes_[node] = ++change_;
}

void membership::linked(time_point now, hello const& greeting)
{
    member_update news;
    news.node_ = greeting.node_;
    news.role_ = greeting.role_;
    news.data_centre_ = greeting.data_centre_;
    news.address_ = greeting.address_;
    learn(now, news);
    node_id const& node = greeting.node_.node_;
    if (node == self_.node_.node_)
    {
        return;
    }
    contacts_[node] = contact{};
    contacts_[node].heard_ = now;
    auto const found = members_.find(node);
    if (found != members_.end() && found->second.node_ == greeting.node_ &&
        found->second.status_ != member_status::alive)
    {
        found->second.status_ = member_status::alive;
        suspected_at_.erase(node);
    }
    if (greeting.role_ == node_role::controller)
    {
        heard_[greeting.data_centre_] = now;
    }
}

void membership::lost(time_point now, node_id const& node)
{
    contacts_.erase(node);
    auto const found = members_.find(node);
    if (found != members_.end() && node != self_.node_.node_ &&
        found->second.status_ == member_status::alive)
    {
        found->second.status_ = member_status::suspected;
        suspected_at_[node] = now;
        changed(node);
    }
}

std::optional<members_request> membership::take(time_point now,
                                                heartbeat const& beat)
{
    node_id const& from = beat.from_.node_;
    auto const contacted = contacts_.find(from);
    auto const known = members_.find(from);
    if (contacted == contacts_.end() || known == members_.end() ||
        known->second.node_ != beat.from_)
    {
        return std::nullopt;
    }
    contact& peer = contacted->second;
    peer.heard_ = now;
    peer.log_reachable_ = beat.log_reachable_;
    heard_[known->second.data_centre_] = now;
    if (known->second.status_ != member_status::alive)
    {
        known->second.status_ = member_status::alive;
        suspected_at_.erase(from);
    }
    for (auto const& news : beat.updates_)
    {
        learn(now, news);
    }
    applied(beat.from_, beat.applied_.config_next_);
    for (auto const& other : beat.heard_)
    {
        if (other.ago_ >= duration{0} && other.ago_ <= std::chrono::hours{1})
        {
            auto& at = heard_.emplace(other.data_centre_, now - other.ago_)
                           .first->second;
            at = std::max(at, now - other.ago_);
        }
    }
    bool const asked = peer.asked_at_ && now - *peer.asked_at_ < ask_interval;
    if (beat.members_digest_ == digest() || asked)
    {
        return std::nullopt;
    }
    peer.asked_at_ = now;
    return members_request{self_.node_};
}

heartbeat membership::full(time_point now, applied_offsets applied,
                           bool log_reachable)
{
    return make_beat(now, applied, log_reachable, 0);
}

void membership::applied(incarnation const& node, log_offset config_next)
{
    auto const found = members_.find(node.node_);
    if (found != members_.end() && found->second.node_ == node &&
        found->second.config_next_ < config_next)
    {
        found->second.config_next_ = config_next;
        changed(node.node_);
    }
}

std::vector<member_message>
membership::poll(time_point now, applied_offsets offsets, bool log_reachable)
{
    std::vector<member_message> beats;
    if (beaten_at_ && now - *beaten_at_ < options_.heartbeat_interval_)
    {
        return beats;
    }
    beaten_at_ = now;
    applied(self_.node_, offsets.config_next_);
    expire(now);
    for (auto& [node, peer] : contacts_)
    {
        auto const member = members_.find(node);
        if (member == members_.end() || !beats_to(member->second))
        {
            continue;
        }
        beats.push_back(
            {node, make_beat(now, offsets, log_reachable, peer.told_)});
        peer.told_ = change_;
    }
    return beats;
}

heartbeat membership::make_beat(time_point now, applied_offsets offsets,
                                bool log_reachable, std::uint64_t since)
{
    heartbeat beat;
    beat.from_ = self_.node_;
    beat.sequence_ = ++sequence_;
    beat.applied_ = offsets;
    beat.members_digest_ = digest();
    beat.log_reachable_ = log_reachable;
    for (auto const& item : members_)
    {
        if (changes_[item.first] > since)
        {
            beat.updates_.push_back(item.second);
        }
    }
    for (auto const& item : heard_)
    {
        beat.heard_.push_back({item.first, now - item.second});
    }
    return beat;
}

bool membership::beats_to(member_update const& member) const
{
    if (member.role_ != node_role::controller)
    {
        return false;
    }
    return member.data_centre_ == self_.data_centre_ ||
           rank("links-" + member.data_centre_.text()) <
               options_.outside_links_;
}

void membership::expire(time_point now)
{
    for (auto& [node, peer] : contacts_)
    {
        auto const found = members_.find(node);
        if (found == members_.end() ||
            found->second.status_ != member_status::alive ||
            found->second.role_ != node_role::controller ||
            found->second.data_centre_ != self_.data_centre_ ||
            now - peer.heard_ < options_.suspect_after_)
        {
            continue;
        }
        found->second.status_ = member_status::suspected;
        suspected_at_[node] = now;
        changed(node);
    }
    for (auto place = members_.begin(); place != members_.end();)
    {
        bool const suspected = place->second.status_ != member_status::alive;
        auto const since = suspected_at_.emplace(place->first, now).first;
        if (!suspected)
        {
            suspected_at_.erase(since);
        }
        if (suspected && now - since->second >= options_.forget_after_)
        {
            suspected_at_.erase(since);
            changes_.erase(place->first);
            place = members_.erase(place);
        }
        else
        {
            ++place;
        }
    }
}

std::vector<node_id> membership::controllers() const
{
    std::vector<node_id> result;
    for (auto const& item : members_)
    {
        member_update const& member = item.second;
        if (member.role_ == node_role::controller &&
            member.status_ == member_status::alive &&
            member.data_centre_ == self_.data_centre_)
        {
            result.push_back(item.first);
        }
    }
    return result;
}

std::uint32_t membership::rank(std::string const& name) const
{
    return rank_among(controllers(), name);
}

std::uint32_t membership::rank_of_all(std::string const& name) const
{
    std::vector<node_id> nodes;
    for (auto const& item : members_)
    {
        if (item.second.role_ == node_role::controller &&
            item.second.status_ == member_status::alive)
        {
            nodes.push_back(item.first);
        }
    }
    return rank_among(nodes, name);
}

std::uint32_t membership::rank_among(std::vector<node_id> const& nodes,
                                     std::string const& name) const
{
    std::uint64_t const own = rendezvous_weight(self_.node_.node_.text(), name);
    return static_cast<std::uint32_t>(
        std::count_if(nodes.begin(), nodes.end(),
                      [&](node_id const& node)
                      {
                          return node != self_.node_.node_ &&
                                 rendezvous_weight(node.text(), name) > own;
                      }));
}

std::optional<time_point>
membership::last_heard(data_centre_name const& data_centre) const
{
    auto const found = heard_.find(data_centre);
    return found == heard_.end() ? std::nullopt
                                 : std::make_optional(found->second);
}

std::vector<data_centre_name> membership::data_centres() const
{
    std::vector<data_centre_name> result;
    for (auto const& item : heard_)
    {
        result.push_back(item.first);
    }
    return result;
}

node_id membership::log_helper(time_point now) const
{
    node_id outside;
    for (auto const& item : contacts_)
    {
        auto const member = members_.find(item.first);
        bool const fresh = now - item.second.heard_ < options_.suspect_after_;
        if (!item.second.log_reachable_ || !fresh || member == members_.end())
        {
            continue;
        }
        if (member->second.data_centre_ == self_.data_centre_)
        {
            return item.first;
        }
        outside = item.first;
    }
    return outside;
}

std::uint64_t membership::digest() const
{
    std::uint64_t sum = 0;
    for (auto const& item : members_)
    {
        std::uint64_t const seed = item.second.node_.number_ +
                                   item.second.version_ * 31 +
                                   item.second.config_next_ * 1009;
        sum ^= stable_hash(item.first.text(), seed);
    }
    return sum;
}

} // namespace cuminfold
