#ifndef CUMINFOLD_KERNEL_SNAPSHOT_FLEET_VIEW_HPP
#define CUMINFOLD_KERNEL_SNAPSHOT_FLEET_VIEW_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/message.hpp"
#include "kernel/snapshot/snapshot_codec.hpp"
#include "kernel/snapshot/stream_follower.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// The folds of `config` and `fleet`, kept up to date from the log, from its
/// snapshots and, while the log cannot be reached, from peers. The same for
/// controllers and gateways:
///
///     view.take(now, result);             // each log_read_result
///     view.settle(&config_writer, fleet_writer);
///     for (auto& read : view.poll(now)) ...
class fleet_view
{
public:
    /// @param codec null: no snapshots, neither from the log nor from peers
    /// @param watch_snapshots for those who write snapshots
    fleet_view(log_tail_options options, config_merger merger,
               std::shared_ptr<snapshot_codec const> codec,
               bool watch_snapshots);

    /// The log reads to send now.
    std::vector<log_read> poll(time_point now);

    /// Takes an answer of the log; answers about other streams are ignored.
    void take(time_point now, log_read_result const& result);

    /// Tells writers what was folded or passed over since the last call.
    void settle(log_writer* config_writer, log_writer& fleet_writer);

    /// What to ask all peers now: only if nothing is known and the log does
    /// not answer.
    std::vector<state_request> ask_peers(time_point now);

    /// Takes a peer's chunk. The highest offset of all that answer within a
    /// moment is taken, and never one below what is held.
    void take(time_point now, state_reply const& reply);

    /// Restores what peers have answered once the moment is over.
    void pass(time_point now);

    /// The chunks that answer a peer; none if this view knows less than asked.
    std::vector<snapshot_chunk> answer(state_request const& request) const;

    /// The encoded state of one of the two streams.
    std::string encode(stream_name const& stream) const;

    /// True if the state may be served by: the log was read to its end, or,
    /// while the log does not answer, peers gave their state.
    bool known() const noexcept;

    /// True if both streams were read to their ends as last heard.
    bool caught_up() const noexcept;

    /// True if the last reads of both streams had an answer.
    bool log_reachable() const noexcept;

    config_state const& config() const noexcept
    {
        return config_;
    }
    fleet_state const& fleet() const noexcept
    {
        return fleet_;
    }
    stream_follower const& config_follower() const noexcept
    {
        return config_follower_;
    }
    stream_follower const& fleet_follower() const noexcept
    {
        return fleet_follower_;
    }
    /// Snapshots that were dropped, from the log and from peers.
    std::uint64_t corrupt_snapshots() const noexcept;

private:
    struct folded_entry
    {
        log_entry entry_;
        std::vector<record_verdict> verdicts_;
    };
    /// What peers have answered about one stream.
    struct peer_answers
    {
        explicit peer_answers(stream_name const& stream) : assembler_(stream) {}
        snapshot_assembler assembler_;
        std::optional<whole_snapshot> best_;
    };

    void fold_fleet();
    void load_snapshots();
    bool restore_config(std::string const& bytes);
    bool restore_fleet(std::string const& bytes);

    std::shared_ptr<snapshot_codec const> codec_;
    config_state config_;
    fleet_state fleet_;
    stream_follower config_follower_;
    stream_follower fleet_follower_;
    /// Entries of `fleet` that wait for an entry of `config`.
    std::deque<log_entry> fleet_backlog_;
    std::vector<log_entry> folded_config_;
    std::vector<folded_entry> folded_fleet_;
    bool config_restored_ = false;
    bool fleet_restored_ = false;
    bool was_caught_up_ = false;
    bool from_peers_ = false;
    std::optional<time_point> asked_at_;
    std::optional<time_point> first_answer_;
    peer_answers config_answers_;
    peer_answers fleet_answers_;
};

} // namespace cuminfold

#endif
