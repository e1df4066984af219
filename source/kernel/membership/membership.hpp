#ifndef CUMINFOLD_KERNEL_MEMBERSHIP_MEMBERSHIP_HPP
#define CUMINFOLD_KERNEL_MEMBERSHIP_MEMBERSHIP_HPP

#include "kernel/identifier.hpp"
#include "kernel/message.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// When a member is heartbeaten, suspected and forgotten.
struct membership_options
{
    duration heartbeat_interval_ = std::chrono::milliseconds{500};
    /// A controller that was not heard for so long is suspected.
    duration suspect_after_ = std::chrono::seconds{3};
    /// A member that was suspected for so long is forgotten.
    duration forget_after_ = std::chrono::seconds{60};
    /// Controllers of one data centre that keep links to another one.
    std::uint32_t outside_links_ = 2;
};

/// A message to one member.
struct member_message
{
    node_id to_;
    message_body body_;
};

/// What a node believes of the others. Used for ranking and routing, never for
/// safety: a wrong belief costs wasted appends.
///
/// Each pair of linked controllers of a data centre exchanges heartbeats; a
/// few of them do with controllers of other data centres. A heartbeat carries
/// the news that its receiver was not told yet and a digest of all; a receiver
/// whose digest differs asks for the whole. A member that hears itself
/// suspected refutes that by a higher version.
class membership
{
public:
    explicit membership(member_update self, membership_options options = {});

    /// Takes news of a member, from itself or passed on.
    void learn(time_point now, member_update const& news);

    /// A connection to a node is there.
    void linked(time_point now, hello const& greeting);

    /// The connection to a node is gone.
    void lost(time_point now, node_id const& node);

    /// Takes a heartbeat of a linked controller. Returns the question to send
    /// back if the two know different things.
    std::optional<members_request> take(time_point now, heartbeat const& beat);

    /// The heartbeat with all news, for a node that asked.
    heartbeat full(time_point now, applied_offsets applied, bool log_reachable);

    /// A node was seen to have applied the stream `config` to that offset.
    void applied(incarnation const& node, log_offset config_next);

    /// The heartbeats to send now; suspects and forgets by the way.
    std::vector<member_message> poll(time_point now, applied_offsets applied,
                                     bool log_reachable);

    std::map<node_id, member_update> const& members() const noexcept
    {
        return members_;
    }

    /// Live controllers of the own data centre, this one included.
    std::vector<node_id> controllers() const;

    /// Rank of this node among `controllers()` by rendezvous hash of `name`.
    std::uint32_t rank(std::string const& name) const;

    /// Rank of this node among the live controllers of all data centres.
    std::uint32_t rank_of_all(std::string const& name) const;

    /// When a controller of a data centre was last heard, by this node or by
    /// one that it hears; empty: never.
    std::optional<time_point>
    last_heard(data_centre_name const& data_centre) const;

    /// Data centres of which a controller was ever heard.
    std::vector<data_centre_name> data_centres() const;

    /// A linked controller that reaches the log itself, rather one of the own
    /// data centre; empty: none.
    node_id log_helper(time_point now) const;

    /// Times that two nodes were seen to claim one name or address.
    std::uint64_t duplicates() const noexcept
    {
        return duplicates_;
    }

    /// Digest of what is known; equal for nodes that know the same.
    std::uint64_t digest() const;

private:
    /// What is known by direct contact.
    struct contact
    {
        time_point heard_{};
        /// Changes up to this count were told to it.
        std::uint64_t told_ = 0;
        bool log_reachable_ = false;
        std::optional<time_point> asked_at_;
    };

    void accept(member_update const& news);
    void changed(node_id const& node);
    void refute(member_update const& news);
    bool shares_address(member_update const& news) const;
    bool beats_to(member_update const& member) const;
    void expire(time_point now);
    heartbeat make_beat(time_point now, applied_offsets applied,
                        bool log_reachable, std::uint64_t since);
    std::uint32_t rank_among(std::vector<node_id> const& nodes,
                             std::string const& name) const;

    member_update self_;
    membership_options options_;
    std::map<node_id, member_update> members_;
    std::map<node_id, contact> contacts_;
    /// Count of the change that last touched each member.
    std::map<node_id, std::uint64_t> changes_;
    std::map<node_id, time_point> suspected_at_;
    std::map<data_centre_name, time_point> heard_;
    std::uint64_t change_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t duplicates_ = 0;
    std::optional<time_point> beaten_at_;
};

} // namespace cuminfold

#endif
