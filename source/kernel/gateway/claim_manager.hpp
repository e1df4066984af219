#ifndef CUMINFOLD_KERNEL_GATEWAY_CLAIM_MANAGER_HPP
#define CUMINFOLD_KERNEL_GATEWAY_CLAIM_MANAGER_HPP

#include "kernel/claims/claim_state.hpp"
#include "kernel/gateway/gateway_context.hpp"
#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_settings.hpp"
#include "kernel/log/log_tail.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/request/latency_histogram.hpp"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace cuminfold
{

/// State of an idempotency key, as a new request with that key finds it.
enum class claim_status
{
    free,            ///< no claim holds; one may be proposed
    log_unavailable, ///< the shard's stream cannot be read at present
    mismatch,        ///< claimed by a request with another body
    kept,            ///< ran; its answer is stored for repeats
    answer_not_kept, ///< ran; its answer was not stored
    running,         ///< claimed, or a claim is pending; no outcome yet
    unknown          ///< may have been dispatched; no outcome is known
};

/// Result of a claim of this gateway, known once its record was read back.
struct claim_resolution
{
    request_id request_;
    claim_key key_;
    /// True if the claim is the first of its key, so that this gateway may
    /// dispatch the request.
    bool won_ = false;
};

/// Claims idempotency keys for this gateway: reads every claim shard's stream,
/// proposes claims and records their outcomes.
///
/// The gateway holds a claim from its resolution as won until its outcome is
/// recorded. It never dispatches under a claim that was abandoned before its
/// resolution, even if the append reaches the log later.
class claim_manager
{
public:
    explicit claim_manager(gateway_settings const& settings);

    /// Returns the state of the key. If the claimant is no longer registered,
    /// also proposes a record that the outcome is unknown.
    claim_status check(gateway_log const& log, claim_key const& key,
                       std::uint64_t body_digest);

    /// Returns the claim that holds for the key, or null if there is none.
    claim_entry const* find(claim_key const& key) const;

    /// Proposes a claim of the key; `handle` returns its resolution.
    void open(time_point now, claim_key const& key, std::uint64_t body_digest,
              request_id const& request);

    /// Ends the claim, pending or held, of a request that was not dispatched:
    /// withdraws it if it was not sent yet, else records it as abandoned.
    void abandon(claim_key const& key);

    /// Records the outcome of a held claim, with the answer if it is short
    /// enough to be kept.
    void answered(claim_key const& key, dispatch_result const& result);
    /// Records that the outcome of a held claim is unknown.
    void unknown(claim_key const& key, reason cause);

    /// Folds the entries of a claim shard's stream; ignores other streams.
    /// @return The claims of this gateway that the entries resolve.
    std::vector<claim_resolution> handle(time_point now,
                                         log_read_result const& result);
    void handle(time_point now, log_append_result const& result);

    /// Sends the reads and appends that are due, and proposes to forget keys
    /// older than the key window.
    void poll(gateway_context& context, gateway_log const& log);

    /// True if every record that this gateway proposed was read back.
    bool all_resolved() const;

    /// 95th percentile of the time from a claim's proposal to its resolution;
    /// zero before enough claims were measured.
    duration latency() const noexcept
    {
        return latency_.has_enough_samples() ? latency_.p95() : duration{0};
    }

private:
    /// A claim that was proposed and not read back yet.
    struct pending_claim
    {
        record_id record_;
        request_id request_;
        time_point proposed_at_;
    };

    /// Offset of the last entry that was read at a time.
    struct read_position
    {
        time_point at_;
        log_offset last_ = 0;
    };

    struct shard_state
    {
        shard_state(stream_name const& stream, gateway_settings const& settings)
            : tail_(stream, settings.tail_),
              writer_(stream, settings.self_, settings.writer_)
        {
        }

        claim_state state_;
        log_tail tail_;
        log_writer writer_;
        std::map<claim_key, pending_claim> pending_;
        std::deque<read_position> read_positions_;
    };

    shard_state& shard_of(claim_key const& key);
    shard_state const& shard_of(claim_key const& key) const;
    shard_state* find_shard(stream_name const& stream);
    /// True if another gateway opened the claim and is no longer registered.
    bool is_claimant_lost(gateway_log const& log,
                          claim_entry const& entry) const;
    void resolve(time_point now, shard_state& shard, log_entry const& entry,
                 std::vector<claim_resolution>& resolved);
    void add_read_position(time_point now, shard_state& shard);
    /// Proposes to forget the keys that were claimed before the key window.
    void forget_expired_keys(time_point now, gateway_log const& log,
                             shard_state& shard);

    gateway_settings const* settings_;
    std::vector<shard_state> shards_;
    /// Claims of lost claimants for which an unknown outcome was proposed.
    std::set<record_id> reported_lost_;
    latency_histogram latency_;
};

} // namespace cuminfold

#endif
