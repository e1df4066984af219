#ifndef CUMINFOLD_KERNEL_CELL_OWNERSHIP_HPP
#define CUMINFOLD_KERNEL_CELL_OWNERSHIP_HPP

#include "kernel/cell/owner_record.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfold
{

struct ownership_options
{
    std::string node_;
    std::string address_;
    /// One life of the process.
    std::uint64_t incarnation_ = 0;
    /// Thousandths of a core that this node may use.
    std::int64_t cpu_milli_ = 0;
    duration ping_interval_ = std::chrono::milliseconds{250};
    /// An owner that answers no ping for this long is suspected.
    duration suspect_timeout_ = std::chrono::milliseconds{450};
    /// So is one that has not reached the store for this long.
    duration store_timeout_ = std::chrono::milliseconds{1100};
    /// How often the owner's record is read while it is suspected.
    duration read_interval_ = std::chrono::milliseconds{200};
    /// A suspected owner whose record does not change for this long is taken
    /// for dead; several times the interval at which owners renew it.
    duration record_timeout_ = std::chrono::milliseconds{900};
    /// A node of rank r waits r times this, so that one tries at a time.
    duration rank_delay_ = std::chrono::milliseconds{150};
    /// While nobody has ever owned the cell, nodes that begin together get
    /// this long to register.
    duration registration_wait_ = std::chrono::milliseconds{600};
    /// Without a sign of the owner for this long it cannot be reached.
    duration contact_limit_ = std::chrono::milliseconds{1300};
};

/// What is to be done next about the ownership of a cell.
enum class ownership_step : std::uint8_t
{
    nothing,
    ping_owner,
    read_record,
    take_over
};

/// Decides when a node tries to become the owner of a cell.
///
/// Who is the owner is decided by the store alone: a takeover is an append
/// under a higher epoch. This only keeps nodes from trying without need. An
/// owner that still renews its record in the store lives, even if this node
/// cannot reach it.
class ownership
{
public:
    ownership(ownership_options options, time_point now);

    /// A step that is due; the caller carries it out and reports back. Called
    /// until it returns `nothing`.
    ownership_step next(time_point now);

    /// @name Reports
    /// @{
    void ping_answered(peer_ping const& answer, time_point now);
    void ping_failed(time_point now);
    /// @param nodes all nodes that registered, by name, and the thousandths of
    /// a core that each may use
    void record_read(std::optional<owner_record> const& record,
                     std::map<std::string, std::int64_t> const& nodes,
                     time_point now);
    void record_unreadable(time_point now);
    void took_over(time_point now);
    /// @param fenced a higher epoch than ours was seen
    void takeover_failed(bool fenced, time_point now);
    /// This node is not the owner any more.
    void lost(time_point now);
    /// This node stops: it follows, but never becomes an owner again.
    void leave(time_point now);
    /// @}

    /// The epoch to take over with; set by `take_over`.
    owner_epoch epoch() const noexcept
    {
        return epoch_;
    }
    bool owning() const noexcept
    {
        return owning_;
    }
    /// Another node is the owner and was heard of lately.
    bool reachable(time_point now) const;
    /// The newest owner that is known; epoch 0: none.
    owner_record const& owner() const noexcept
    {
        return known_;
    }

private:
    /// One call at a time, and when the next is due.
    struct turn
    {
        bool in_flight_ = false;
        time_point due_{};
    };

    void follow(owner_record const& record, time_point now);
    void suspect(time_point now);
    /// How long this node waits for those that should rather take over. Nodes
    /// with more processor time go first: an owner needs most of it.
    duration
    takeover_delay(std::map<std::string, std::int64_t> const& nodes) const;
    owner_epoch next_epoch() const;

    ownership_options options_;
    owner_record known_;
    owner_epoch epoch_ = 0;
    owner_epoch highest_ = 0;
    bool owning_ = false;
    bool leaving_ = false;
    bool suspecting_ = true;
    bool taking_over_ = false;
    turn ping_;
    turn read_;
    turn takeover_;
    time_point last_contact_{};
    bool has_contact_ = false;
    /// The record was read since the owner is suspected, and first so then.
    bool record_seen_ = false;
    /// The owner itself said that it does not reach the store.
    bool owner_lost_store_ = false;
    time_point unchanged_since_{};
};

} // namespace cuminfold

#endif
