#ifndef CUMINFOLD_KERNEL_CELL_OWNERSHIP_HPP
#define CUMINFOLD_KERNEL_CELL_OWNERSHIP_HPP

#include "kernel/cell/owner_record.hpp"
#include "kernel/cell/recent_latency.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cuminfold
{

/// Identity of a node, and the intervals and timeouts of `ownership`.
struct ownership_options
{
    std::string node_;
    /// Address for requests of other nodes, `IP:PORT`.
    std::string address_;
    /// Identifies one incarnation of the process.
    std::uint64_t incarnation_ = 0;
    /// Processor time available to this node, in thousandths of a core.
    std::int64_t cpu_milli_ = 0;
    duration ping_interval_ = std::chrono::milliseconds{250};
    /// An owner that answers no ping for this long is suspected.
    duration suspect_timeout_ = std::chrono::milliseconds{450};
    /// An owner that has not reached the store for this long is suspected too,
    /// unless the store answers this node slowly as well; see
    /// `ownership::confirmation_limit()`.
    duration store_timeout_ = std::chrono::milliseconds{1100};
    /// Time without confirmation of an owner whose store answers at once: the
    /// interval of its confirmations (500 ms) and a margin for its event loop.
    duration confirmation_time_ = std::chrono::milliseconds{600};
    /// How long a response time of the store counts. Reads that follow a topic
    /// end at most every 2.2 s when the store is slow (a wait of 0.7 s and a
    /// timeout of 1.5 s).
    duration latency_window_ = std::chrono::seconds{3};
    /// How often the owner's record is read while it is suspected.
    duration read_interval_ = std::chrono::milliseconds{200};
    /// A suspected owner whose record does not change for this long counts as
    /// dead; several times the interval at which owners renew the record.
    duration record_timeout_ = std::chrono::milliseconds{900};
    /// A node of rank r delays its takeover by r times this, or more if the
    /// store is slow, so that one node tries at a time.
    duration rank_delay_ = std::chrono::milliseconds{150};
    /// Bound on that delay, so that nodes which are registered but gone do not
    /// leave the cell without an owner for long.
    duration max_rank_delay_ = std::chrono::milliseconds{1500};
    /// Delay of the first takeover of a cell that never had an owner, so that
    /// nodes that start together can register first.
    duration registration_wait_ = std::chrono::milliseconds{600};
    /// The owner counts as unreachable this long after the last contact.
    duration contact_limit_ = std::chrono::milliseconds{1300};
};

/// What a node last learned about the owner of the cell.
enum class owner_condition : std::uint8_t
{
    unknown,    ///< no owner is known
    works,      ///< it answers and confirms its epoch in time
    slow_store, ///< its confirmation is late, as is explained by the store
    no_answer,  ///< it has not answered pings for `suspect_timeout_`
    not_owning, ///< it answers, but owns the cell no more
    store_lost, ///< its confirmation is later than the store explains
    resigned    ///< its record says that it has released the cell
};

/// Name of a condition in log lines.
char const* condition_name(owner_condition condition);

/// The next step of a node's ownership protocol.
enum class ownership_step : std::uint8_t
{
    nothing,
    ping_owner,
    read_record,
    take_over
};

/// Decides when a node tries to become the owner of a cell.
///
/// Only the store decides who the owner is: a takeover is an append under a
/// higher epoch. This class only avoids needless attempts. An owner that still
/// renews its record in the store is alive, even if this node cannot reach it.
/// An owner whose epoch is not confirmed in time is replaced only if this node
/// reaches the store faster: otherwise its successor would be as late.
class ownership
{
public:
    ownership(ownership_options options, time_point now);

    /// Returns a step that is due. The caller carries it out and reports the
    /// result, and calls again until it gets `nothing`.
    ownership_step next(time_point now);

    /// @name Reports
    /// @{
    void ping_answered(peer_ping const& answer, time_point now);
    void ping_failed(time_point now);
    /// @param record the owner's record; empty if the cell never had an owner
    /// @param nodes the processor time of all registered nodes by name, in
    /// thousandths of a core
    void record_read(std::optional<owner_record> const& record,
                     std::map<std::string, std::int64_t> const& nodes,
                     time_point now);
    void record_unreadable(time_point now);
    /// The store answered any call of this node.
    /// @param response_time without the time for which the call asked the
    /// store to wait
    void store_answered(duration response_time, time_point now);
    void took_over(time_point now);
    /// @param fenced the store holds a higher epoch than this node's
    void takeover_failed(bool fenced, time_point now);
    /// This node is no longer the owner.
    void lost(time_point now);
    /// This node is shutting down: it still follows the owner, but never takes
    /// over again.
    void leave(time_point now);
    /// @}

    /// The epoch of this node's takeover; set when `next()` returns
    /// `take_over`.
    owner_epoch epoch() const noexcept
    {
        return epoch_;
    }
    bool owning() const noexcept
    {
        return owning_;
    }
    /// Whether another node is the owner and the last contact is recent.
    bool reachable(time_point now) const;
    /// The most recent owner that is known; epoch 0: none.
    owner_record const& owner() const noexcept
    {
        return known_owner_;
    }
    /// @name For log lines
    /// @{
    owner_condition condition() const noexcept
    {
        return condition_;
    }
    /// The time without confirmation that the owner reported last.
    duration unconfirmed() const noexcept
    {
        return unconfirmed_;
    }
    /// @}
    /// The longest response time of the store in this node's recent calls.
    duration store_latency(time_point now) const
    {
        return latency_.longest(now);
    }
    /// How long an owner's epoch may stay without confirmation until the owner
    /// is suspected: `store_timeout_`, or more if the store is slow.
    duration confirmation_limit(time_point now) const;

private:
    /// Schedule of a kind of call that has one call in flight at most.
    struct call_schedule
    {
        bool in_flight_ = false;
        time_point due_{};
    };

    void follow(owner_record const& record, time_point now);
    void suspect(time_point now);
    /// Compares the owner's last reported time without confirmation with the
    /// limit.
    void check_confirmation(time_point now);
    /// How long this node waits for nodes that rank before it. Nodes with more
    /// processor time rank first, since an owner needs the most of it.
    duration takeover_delay(std::map<std::string, std::int64_t> const& nodes,
                            time_point now) const;
    owner_epoch next_epoch() const;

    ownership_options options_;
    owner_record known_owner_;
    owner_epoch epoch_ = 0;
    /// The highest epoch seen.
    owner_epoch highest_ = 0;
    bool owning_ = false;
    bool leaving_ = false;
    bool suspecting_ = true;
    bool taking_over_ = false;
    call_schedule ping_;
    call_schedule read_;
    call_schedule takeover_;
    time_point last_contact_{};
    bool has_contact_ = false;
    /// The owner's record was read since the owner became suspected.
    bool record_seen_ = false;
    /// The owner's epoch is not confirmed in time, and the store's latency does
    /// not explain it.
    bool owner_lost_store_ = false;
    duration unconfirmed_{0};
    owner_condition condition_ = owner_condition::unknown;
    recent_latency latency_;
    /// Since when the owner's record is unchanged.
    time_point unchanged_since_{};
};

} // namespace cuminfold

#endif
