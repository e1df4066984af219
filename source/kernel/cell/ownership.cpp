#include "kernel/cell/ownership.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// The lower half of an epoch distinguishes nodes and their incarnations, the
/// upper half counts takeovers. A double represents such an epoch exactly.
constexpr unsigned unique_bits = 32;
constexpr std::uint64_t unique_mask = (1ULL << unique_bits) - 1;
/// Nodes of higher ranks wait as long as one of this rank.
constexpr std::int64_t last_rank = 8;
/// Response times of the store that a confirmation takes at most, counted from
/// the sending of the previous one: the previous answer, attempts that timed
/// out before the timeout had adapted (each twice as long as the one before, in
/// total less than two), and the answer. A takeover takes at least as many:
/// read the record, claim the cell, read its content and its workers.
constexpr std::int64_t latencies_per_confirmation = 4;
/// Response times of the store until a takeover is known to other nodes: claim
/// the cell, renew the owner's record, read it; one more, since nodes start to
/// read at different times.
constexpr std::int64_t latencies_per_rank = 4;

} // namespace

char const* condition_name(owner_condition condition)
{
    switch (condition)
    {
    case owner_condition::unknown:
        return "unknown";
    case owner_condition::works:
        return "works";
    case owner_condition::slow_store:
        return "slow_store";
    case owner_condition::no_answer:
        return "no_answer";
    case owner_condition::not_owning:
        return "not_owning";
    case owner_condition::store_lost:
        return "store_lost";
    case owner_condition::resigned:
        return "resigned";
    }
    return "unknown";
}

ownership::ownership(ownership_options options, time_point now)
    : options_(std::move(options)), latency_(options_.latency_window_),
      unchanged_since_(now)
{
}

void ownership::store_answered(duration response_time, time_point now)
{
    latency_.answered(response_time, now);
}

duration ownership::confirmation_limit(time_point now) const
{
    return std::max(options_.store_timeout_,
                    options_.confirmation_time_ +
                        store_latency(now) * latencies_per_confirmation);
}

owner_epoch ownership::next_epoch() const
{
    auto const round = (highest_ >> unique_bits) + 1;
    auto const unique = stable_hash(options_.node_, options_.incarnation_);
    return (round << unique_bits) | (unique & unique_mask);
}

ownership_step ownership::next(time_point now)
{
    if (owning_)
    {
        return ownership_step::nothing;
    }
    if (taking_over_ && !takeover_.in_flight_ && now >= takeover_.due_)
    {
        if (epoch_ <= highest_)
        {
            epoch_ = next_epoch();
        }
        takeover_.in_flight_ = true;
        return ownership_step::take_over;
    }
    if (known_owner_.epoch_ != 0 && !known_owner_.address_.empty() &&
        !ping_.in_flight_ && now >= ping_.due_)
    {
        ping_.in_flight_ = true;
        return ownership_step::ping_owner;
    }
    if (suspecting_ && !taking_over_ && !read_.in_flight_ && now >= read_.due_)
    {
        read_.in_flight_ = true;
        return ownership_step::read_record;
    }
    return ownership_step::nothing;
}

void ownership::follow(owner_record const& record, time_point now)
{
    highest_ = std::max(highest_, record.epoch_);
    if (record.epoch_ <= known_owner_.epoch_)
    {
        return;
    }
    known_owner_ = record;
    last_contact_ = now;
    has_contact_ = true;
    suspecting_ = false;
    owner_lost_store_ = false;
    unconfirmed_ = duration{0};
    condition_ = owner_condition::works;
    taking_over_ = false;
    ping_ = {false, now};
}

void ownership::suspect(time_point now)
{
    if (!suspecting_)
    {
        suspecting_ = true;
        record_seen_ = false;
        unchanged_since_ = now;
        read_.due_ = now;
    }
}

void ownership::ping_answered(peer_ping const& answer, time_point now)
{
    ping_ = {false, now + options_.ping_interval_};
    if (answer.epoch_ > known_owner_.epoch_ && !answer.owner_address_.empty())
    {
        owner_record record;
        record.epoch_ = answer.epoch_;
        record.address_ = answer.owner_address_;
        follow(record, now);
        return;
    }
    if (!answer.owning_ || answer.epoch_ != known_owner_.epoch_)
    {
        // The node was restarted or has released the cell.
        condition_ = owner_condition::not_owning;
        suspect(now);
        return;
    }
    last_contact_ = now;
    has_contact_ = true;
    unconfirmed_ = answer.unconfirmed_;
    check_confirmation(now);
}

void ownership::check_confirmation(time_point now)
{
    owner_lost_store_ = unconfirmed_ > confirmation_limit(now);
    if (owner_lost_store_)
    {
        condition_ = owner_condition::store_lost;
        suspect(now);
        return;
    }
    condition_ = unconfirmed_ > options_.store_timeout_
                     ? owner_condition::slow_store
                     : owner_condition::works;
    suspecting_ = false;
    taking_over_ = false;
}

void ownership::ping_failed(time_point now)
{
    ping_ = {false, now + options_.ping_interval_ / 2};
    if (now - last_contact_ >= options_.suspect_timeout_)
    {
        condition_ = owner_condition::no_answer;
        suspect(now);
    }
}

duration
ownership::takeover_delay(std::map<std::string, std::int64_t> const& nodes,
                          time_point now) const
{
    auto const round = std::to_string(highest_);
    auto const own = rendezvous_weight(options_.node_, round);
    std::int64_t rank = 0;
    bool has_larger_node = false;
    for (auto const& node : nodes)
    {
        if (node.first == options_.node_ || node.first == known_owner_.node_)
        {
            continue;
        }
        bool const is_larger = node.second > options_.cpu_milli_;
        bool const wins_tie = node.second == options_.cpu_milli_ &&
                              rendezvous_weight(node.first, round) > own;
        has_larger_node = has_larger_node || is_larger;
        rank += is_larger || wins_tie ? 1 : 0;
    }
    // Nodes read the record at different times, so nodes of adjacent ranks may
    // try at the same time. The extra delay keeps a node with less processor
    // time from trying together with a larger one.
    auto const rank_delay =
        std::clamp(store_latency(now) * latencies_per_rank,
                   options_.rank_delay_, options_.max_rank_delay_);
    return rank_delay * std::min(rank, last_rank) +
           (has_larger_node ? options_.read_interval_ : duration{0});
}

void ownership::record_read(std::optional<owner_record> const& record,
                            std::map<std::string, std::int64_t> const& nodes,
                            time_point now)
{
    read_ = {false, now + options_.read_interval_};
    if (!suspecting_)
    {
        return;
    }
    auto const delay = takeover_delay(nodes, now);
    if (!record)
    {
        // The cell never had an owner.
        taking_over_ = !leaving_ && now - unchanged_since_ >=
                                        options_.registration_wait_ + delay;
        takeover_.due_ = now;
        return;
    }
    highest_ = std::max(highest_, record->epoch_);
    bool const previous_incarnation = record->node_ == options_.node_;
    if (record->epoch_ > known_owner_.epoch_ && !record->resigned_ &&
        !previous_incarnation)
    {
        follow(*record, now);
        return;
    }
    if (condition_ == owner_condition::store_lost)
    {
        // The read that has just ended may be the first one to show that the
        // store is slow for this node too.
        check_confirmation(now);
        if (!suspecting_)
        {
            return;
        }
    }
    if (record->epoch_ >= known_owner_.epoch_)
    {
        bool const changed = !record_seen_ ||
                             record->heartbeat_ != known_owner_.heartbeat_ ||
                             record->resigned_ != known_owner_.resigned_;
        known_owner_ = *record;
        record_seen_ = true;
        unchanged_since_ = changed ? now : unchanged_since_;
    }
    if (known_owner_.resigned_)
    {
        condition_ = owner_condition::resigned;
    }
    bool const can_skip_timeout =
        known_owner_.resigned_ || previous_incarnation || owner_lost_store_;
    auto const timeout =
        can_skip_timeout ? duration{0} : options_.record_timeout_;
    taking_over_ = !leaving_ && now - unchanged_since_ >= timeout + delay;
    takeover_.due_ = now;
}

void ownership::record_unreadable(time_point now)
{
    read_ = {false, now + options_.read_interval_};
    record_seen_ = false;
    unchanged_since_ = now;
}

void ownership::took_over(time_point now)
{
    takeover_.in_flight_ = false;
    taking_over_ = false;
    suspecting_ = false;
    condition_ = owner_condition::works;
    owning_ = true;
    highest_ = std::max(highest_, epoch_);
    known_owner_ = {};
    known_owner_.epoch_ = epoch_;
    known_owner_.node_ = options_.node_;
    known_owner_.address_ = options_.address_;
    last_contact_ = now;
    has_contact_ = true;
}

void ownership::takeover_failed(bool fenced, time_point now)
{
    takeover_ = {false, now + options_.read_interval_};
    if (fenced)
    {
        highest_ = std::max(highest_, epoch_);
        taking_over_ = false;
        suspecting_ = false;
        suspect(now);
    }
}

void ownership::lost(time_point now)
{
    owning_ = false;
    has_contact_ = false;
    // The next owner's record has a higher epoch than the one that ended.
    known_owner_.address_.clear();
    known_owner_.resigned_ = true;
    condition_ = owner_condition::unknown;
    suspecting_ = false;
    suspect(now);
}

void ownership::leave(time_point now)
{
    leaving_ = true;
    taking_over_ = false;
    if (owning_)
    {
        lost(now);
    }
}

bool ownership::reachable(time_point now) const
{
    return !owning_ && has_contact_ && !known_owner_.address_.empty() &&
           now - last_contact_ < options_.contact_limit_;
}

} // namespace cuminfold
