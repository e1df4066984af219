#include "kernel/membership/membership.hpp"

#include "kernel/hash.hpp"

#include <utility>

namespace cuminfold
{

membership::membership(member_news self) : self_(std::move(self))
{
    members_[self_.node_.node_] = self_;
}

void membership::learn(time_point, member_news const& news)
{
    if (news.node_.node_ == self_.node_.node_)
    {
        return;
    }
    auto const found = members_.find(news.node_.node_);
    bool const newer = found == members_.end() ||
                       found->second.node_.number_ < news.node_.number_ ||
                       (found->second.node_ == news.node_ &&
                        found->second.version_ <= news.version_);
    if (newer)
    {
        members_[news.node_.node_] = news;
    }
}

void membership::lost(time_point, node_id const& node)
{
    auto const found = members_.find(node);
    if (found != members_.end() && node != self_.node_.node_)
    {
        found->second.status_ = member_status::suspected;
    }
}

std::vector<node_id> membership::controllers() const
{
    std::vector<node_id> result;
    for (auto const& item : members_)
    {
        member_news const& member = item.second;
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
    std::uint64_t const own = rendezvous_weight(self_.node_.node_.text(), name);
    std::uint32_t better = 0;
    for (auto const& node : controllers())
    {
        if (node != self_.node_.node_ &&
            rendezvous_weight(node.text(), name) > own)
        {
            ++better;
        }
    }
    return better;
}

} // namespace cuminfold
