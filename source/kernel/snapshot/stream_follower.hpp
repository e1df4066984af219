#ifndef CUMINFOLD_KERNEL_SNAPSHOT_STREAM_FOLLOWER_HPP
#define CUMINFOLD_KERNEL_SNAPSHOT_STREAM_FOLLOWER_HPP

#include "kernel/log/log_tail.hpp"
#include "kernel/snapshot/snapshot_chunks.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cuminfold
{

/// Follows one stream and, where retention has passed it, finds the newest
/// whole snapshot to go on from. It never skips entries.
class stream_follower
{
public:
    /// @param watch also reads snapshots while there is no gap, to know when
    /// the next one is due
    stream_follower(stream_name stream, log_tail_options options, bool watch);

    /// The reads to send now.
    /// @param hold reads no further entries, only snapshots
    std::vector<log_read> poll(time_point now, bool hold = false);

    /// Takes an answer about the stream or its snapshots. Returns the stream's
    /// entries that are new, in order.
    std::vector<log_entry> take(time_point now, log_read_result const& result);

    /// The state cannot go on by entries alone.
    void need_snapshot() noexcept
    {
        stuck_ = true;
    }

    /// The newest snapshot to go on from, if one is needed and all that the
    /// log holds were read.
    /// @param folded offset up to which entries were folded; they may be read
    /// further
    whole_snapshot const* offer(log_offset folded) const;

    /// The offered snapshot was restored; goes on at its offset.
    void restored(log_offset next);

    /// The offered snapshot cannot be used; the one before is offered.
    void reject();

    log_tail const& tail() const noexcept
    {
        return tail_;
    }

    /// Offset that the newest whole snapshot seen reaches to; empty: none.
    std::optional<log_offset> last_snapshot() const noexcept
    {
        return last_snapshot_;
    }

    /// Snapshots that were dropped as torn, corrupt or not usable.
    std::uint64_t corrupt() const noexcept
    {
        return assembler_.corrupt() + rejected_;
    }

    /// True while a snapshot is needed to go on.
    bool needed() const noexcept
    {
        return stuck_ || tail_.gap();
    }

private:
    void take_chunks(log_entry const& entry);

    log_tail tail_;
    log_tail snapshots_;
    bool watch_;
    bool stuck_ = false;
    snapshot_assembler assembler_;
    /// Whole snapshots, by age; the last is the newest.
    std::deque<whole_snapshot> whole_;
    std::optional<log_offset> last_snapshot_;
    std::uint64_t rejected_ = 0;
};

} // namespace cuminfold

#endif
