#ifndef CUMINFOLD_KERNEL_MEMBERSHIP_MEMBERSHIP_HPP
#define CUMINFOLD_KERNEL_MEMBERSHIP_MEMBERSHIP_HPP

#include "kernel/identifier.hpp"
#include "kernel/message.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// What a node believes of the others. Used for ranking and routing, never for
/// safety: a wrong belief costs wasted appends.
class membership
{
public:
    explicit membership(member_news self);

    /// Takes news of a member, from itself or passed on.
    void learn(time_point now, member_news const& news);

    /// The connection to a node is gone.
    void lost(time_point now, node_id const& node);

    std::map<node_id, member_news> const& members() const noexcept
    {
        return members_;
    }

    /// Live controllers of the own data centre, this one included.
    std::vector<node_id> controllers() const;

    /// Rank of this node among `controllers()` by rendezvous hash of `name`.
    std::uint32_t rank(std::string const& name) const;

private:
    member_news self_;
    std::map<node_id, member_news> members_;
};

} // namespace cuminfold

#endif
