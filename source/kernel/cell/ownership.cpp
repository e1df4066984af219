#include "kernel/cell/ownership.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// The lower half of an epoch tells nodes and lives apart, the upper half
/// counts takeovers. Together they fit a double exactly.
constexpr unsigned unique_bits = 32;
constexpr std::uint64_t unique_mask = (1ULL << unique_bits) - 1;
/// Nodes of higher ranks wait no longer than this one.
constexpr std::int64_t last_rank = 8;

} // namespace

ownership::ownership(ownership_options options, time_point now)
    : options_(std::move(options)), unchanged_since_(now)
{
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
    if (known_.epoch_ != 0 && !known_.address_.empty() && !ping_.in_flight_ &&
        now >= ping_.due_)
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
    if (record.epoch_ <= known_.epoch_)
    {
        return;
    }
    known_ = record;
    last_contact_ = now;
    has_contact_ = true;
    suspecting_ = false;
    owner_lost_store_ = false;
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
    if (answer.epoch_ > known_.epoch_ && !answer.owner_address_.empty())
    {
        owner_record record;
        record.epoch_ = answer.epoch_;
        record.address_ = answer.owner_address_;
        follow(record, now);
        return;
    }
    if (!answer.owning_ || answer.epoch_ != known_.epoch_)
    {
        // It was restarted, or has handed over.
        suspect(now);
        return;
    }
    last_contact_ = now;
    has_contact_ = true;
    owner_lost_store_ = answer.unconfirmed_ > options_.store_timeout_;
    if (owner_lost_store_)
    {
        suspect(now);
    }
    else
    {
        suspecting_ = false;
        taking_over_ = false;
    }
}

void ownership::ping_failed(time_point now)
{
    ping_ = {false, now + options_.ping_interval_ / 2};
    if (now - last_contact_ >= options_.suspect_timeout_)
    {
        suspect(now);
    }
}

duration ownership::takeover_delay(
    std::map<std::string, std::int64_t> const& nodes) const
{
    auto const round = std::to_string(highest_);
    auto const own = rendezvous_weight(options_.node_, round);
    std::int64_t rank = 0;
    bool stronger = false;
    for (auto const& node : nodes)
    {
        if (node.first == options_.node_ || node.first == known_.node_)
        {
            continue;
        }
        bool const more = node.second > options_.cpu_milli_;
        bool const first = node.second == options_.cpu_milli_ &&
                           rendezvous_weight(node.first, round) > own;
        stronger = stronger || more;
        rank += more || first ? 1 : 0;
    }
    // Nodes look at times of their own, so that neighbours may try together;
    // a smaller one must not.
    return options_.rank_delay_ * std::min(rank, last_rank) +
           (stronger ? options_.read_interval_ : duration{0});
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
    auto const turn = takeover_delay(nodes);
    if (!record)
    {
        // Nobody has ever owned it.
        taking_over_ = !leaving_ && now - unchanged_since_ >=
                                        options_.registration_wait_ + turn;
        takeover_.due_ = now;
        return;
    }
    highest_ = std::max(highest_, record->epoch_);
    bool const earlier_life = record->node_ == options_.node_;
    if (record->epoch_ > known_.epoch_ && !record->resigned_ && !earlier_life)
    {
        follow(*record, now);
        return;
    }
    if (record->epoch_ >= known_.epoch_)
    {
        bool const changed = !record_seen_ ||
                             record->heartbeat_ != known_.heartbeat_ ||
                             record->resigned_ != known_.resigned_;
        known_ = *record;
        record_seen_ = true;
        unchanged_since_ = changed ? now : unchanged_since_;
    }
    bool const over = known_.resigned_ || earlier_life || owner_lost_store_;
    auto const patience = over ? duration{0} : options_.record_timeout_;
    taking_over_ = !leaving_ && now - unchanged_since_ >= patience + turn;
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
    owning_ = true;
    highest_ = std::max(highest_, epoch_);
    known_ = {};
    known_.epoch_ = epoch_;
    known_.node_ = options_.node_;
    known_.address_ = options_.address_;
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
    // The record of the next owner has a higher epoch; this one's is over.
    known_.address_.clear();
    known_.resigned_ = true;
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
    return !owning_ && has_contact_ && !known_.address_.empty() &&
           now - last_contact_ < options_.contact_limit_;
}

} // namespace cuminfold
