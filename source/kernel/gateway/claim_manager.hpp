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

/// What is known of a key when a request names it.
enum class claim_status
{
    free,            ///< a claim may be asked for
    log_unavailable, ///< the shard's stream cannot be read now
    mismatch,        ///< used for another body
    kept,            ///< ran; the answer is kept
    answer_not_kept, ///< ran; the answer is not kept
    running,
    unknown ///< dispatched, perhaps, and nobody saw the end
};

/// A claim of this gateway was read back.
struct claim_resolution
{
    request_id request_;
    claim_key key_;
    /// It is the first of its key: this gateway may dispatch under it.
    bool won_ = false;
};

/// The gateway's side of the claims: follows every shard, asks for claims and
/// records how they end.
///
/// A claim is held only between its settlement as won and its end. One that
/// was given up before that is never dispatched under, whenever it lands.
class claim_manager
{
public:
    explicit claim_manager(gateway_settings const& settings);

    /// What is known of the key. Reports a claimant that is gone.
    claim_status check(gateway_log const& log, claim_key const& key,
                       std::uint64_t body_digest);

    /// The claim that holds for the key; null: none.
    claim_entry const* find(claim_key const& key) const;

    /// Asks for the key; `take` returns the settlement.
    void open(time_point now, claim_key const& key, std::uint64_t body_digest,
              request_id const& request);

    /// The request ended before its dispatch: the claim, asked for or held,
    /// is withdrawn or recorded as abandoned.
    void abandon(claim_key const& key);

    void answered(claim_key const& key, dispatch_result const& result);
    void unknown(claim_key const& key, reason cause);

    std::vector<claim_resolution> take(time_point now,
                                       log_read_result const& result);
    void take(time_point now, log_append_result const& result);

    /// Sends the reads and appends that are due.
    void poll(gateway_context& context, gateway_log const& log);

    /// True if every record of this gateway was read back.
    bool resolved() const;

    /// Time that a claim usually takes.
    duration latency() const noexcept
    {
        return latency_.has_enough_samples() ? latency_.p95() : duration{0};
    }

private:
    /// A claim that was asked for and is not settled.
    struct pending_claim
    {
        record_id record_;
        request_id request_;
        time_point proposed_at_;
    };

    /// How far the shard was read at a time.
    struct read_position
    {
        time_point at_;
        log_offset last_ = 0;
    };

    struct shard
    {
        shard(stream_name const& stream, gateway_settings const& settings)
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

    shard& shard_of(claim_key const& key);
    shard const& shard_of(claim_key const& key) const;
    shard* find_shard(stream_name const& stream);
    bool is_claimant_lost(gateway_log const& log,
                          claim_entry const& entry) const;
    void resolve(time_point now, shard& at, log_entry const& entry,
                 std::vector<claim_resolution>& resolved);
    void add_read_position(time_point now, shard& at);
    void forget_expired_keys(time_point now, gateway_log const& log, shard& at);

    gateway_settings const* settings_;
    std::vector<shard> shards_;
    /// Claims that were reported as lost.
    std::set<record_id> reported_lost_;
    latency_histogram latency_;
};

} // namespace cuminfold

#endif
