#include "kernel/gateway/claim_manager.hpp"

#include "kernel/hash.hpp"
#include "kernel/streams.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Read positions that are kept per key window. Keys are forgotten in steps of
/// one position.
constexpr int read_positions_per_window = 64;

/// Maximum size of `reported_lost_`; for claims beyond it no record is
/// proposed.
constexpr std::size_t max_reported_lost = 4096;

} // namespace

claim_manager::claim_manager(gateway_settings const& settings)
    : settings_(&settings)
{
    shards_.reserve(settings.claim_shards_);
    for (std::uint32_t i = 0; i < settings.claim_shards_; ++i)
    {
        shards_.emplace_back(claims_stream(i), settings);
    }
}

claim_status claim_manager::check(gateway_log const& log, claim_key const& key,
                                  std::uint64_t body_digest)
{
    shard_state& shard = shard_of(key);
    claim_entry const* const entry = shard.state_.find(key);
    if (entry == nullptr)
    {
        if (shard.pending_.count(key) != 0)
        {
            return claim_status::running;
        }
        return shard.tail_.reachable() ? claim_status::free
                                       : claim_status::log_unavailable;
    }
    if (entry->body_digest_ != body_digest)
    {
        return claim_status::mismatch;
    }
    switch (entry->phase_)
    {
    case claim_phase::answered:
        return entry->kept_ ? claim_status::kept
                            : claim_status::answer_not_kept;
    case claim_phase::unknown:
        return claim_status::unknown;
    case claim_phase::open:
        break;
    }
    if (!is_claimant_lost(log, *entry))
    {
        return claim_status::running;
    }
    if (reported_lost_.size() < max_reported_lost &&
        reported_lost_.insert(entry->opened_).second)
    {
        shard.writer_.propose(
            claim_unknown{key, entry->opened_.writer_, reason::claimant_lost});
    }
    return claim_status::unknown;
}

claim_entry const* claim_manager::find(claim_key const& key) const
{
    return shard_of(key).state_.find(key);
}

void claim_manager::open(time_point now, claim_key const& key,
                         std::uint64_t body_digest, request_id const& request)
{
    shard_state& shard = shard_of(key);
    auto const record =
        shard.writer_.propose(claim_opened{key, body_digest, request});
    shard.pending_[key] = pending_claim{record, request, now};
}

void claim_manager::abandon(claim_key const& key)
{
    shard_state& shard = shard_of(key);
    auto const pending = shard.pending_.find(key);
    if (pending != shard.pending_.end())
    {
        bool const withdrawn = shard.writer_.withdraw(pending->second.record_);
        shard.pending_.erase(pending);
        if (withdrawn)
        {
            return;
        }
    }
    shard.writer_.propose(claim_abandoned{key});
}

void claim_manager::answered(claim_key const& key,
                             dispatch_result const& result)
{
    claim_answered record;
    record.key_ = key;
    record.status_ = result.status_;
    record.content_type_ = result.content_type_;
    record.kept_ = result.short_body_.has_value();
    record.answer_ = result.short_body_.value_or(std::string());
    shard_of(key).writer_.propose(std::move(record));
}

void claim_manager::unknown(claim_key const& key, reason cause)
{
    shard_of(key).writer_.propose(claim_unknown{key, settings_->self_, cause});
}

std::vector<claim_resolution>
claim_manager::handle(time_point now, log_read_result const& result)
{
    std::vector<claim_resolution> resolved;
    shard_state* const shard = find_shard(result.stream_);
    if (shard == nullptr)
    {
        return resolved;
    }
    for (auto const& entry : shard->tail_.take(now, result))
    {
        shard->state_.apply(entry);
        shard->writer_.read_back(entry);
        resolve(now, *shard, entry, resolved);
    }
    add_read_position(now, *shard);
    return resolved;
}

void claim_manager::handle(time_point now, log_append_result const& result)
{
    if (shard_state* const shard = find_shard(result.stream_))
    {
        shard->writer_.take(now, result);
    }
}

void claim_manager::poll(gateway_context& context, gateway_log const& log)
{
    for (auto& shard : shards_)
    {
        forget_expired_keys(context.now_, log, shard);
        if (auto read = shard.tail_.poll(context.now_))
        {
            context.act(std::move(*read));
        }
        if (auto append = shard.writer_.poll(context.now_))
        {
            context.act(std::move(*append));
        }
    }
}

bool claim_manager::all_resolved() const
{
    return std::all_of(shards_.begin(), shards_.end(),
                       [](shard_state const& shard)
                       { return shard.writer_.waiting() == 0; });
}

claim_manager::shard_state& claim_manager::shard_of(claim_key const& key)
{
    return shards_[claim_shard(key, settings_->claim_shards_)];
}

claim_manager::shard_state const&
claim_manager::shard_of(claim_key const& key) const
{
    return shards_[claim_shard(key, settings_->claim_shards_)];
}

claim_manager::shard_state* claim_manager::find_shard(stream_name const& stream)
{
    for (auto& shard : shards_)
    {
        if (shard.tail_.stream() == stream)
        {
            return &shard;
        }
    }
    return nullptr;
}

bool claim_manager::is_claimant_lost(gateway_log const& log,
                                     claim_entry const& entry) const
{
    incarnation const& claimant = entry.opened_.writer_;
    if (claimant == settings_->self_)
    {
        return false;
    }
    return log.caught_up() && !log.fleet().gateways().is_registered(claimant);
}

void claim_manager::resolve(time_point now, shard_state& shard,
                            log_entry const& entry,
                            std::vector<claim_resolution>& resolved)
{
    for (auto const& item : entry.records_)
    {
        auto const* opened = std::get_if<claim_opened>(&item.body_);
        if (opened == nullptr)
        {
            continue;
        }
        auto const pending = shard.pending_.find(opened->key_);
        if (pending == shard.pending_.end() ||
            !(pending->second.record_ == item.id_))
        {
            continue;
        }
        claim_entry const* const holder = shard.state_.find(opened->key_);
        bool const won = holder != nullptr && holder->opened_ == item.id_ &&
                         holder->phase_ == claim_phase::open;
        resolved.push_back({pending->second.request_, opened->key_, won});
        latency_.add(now - pending->second.proposed_at_);
        shard.pending_.erase(pending);
    }
}

void claim_manager::add_read_position(time_point now, shard_state& shard)
{
    duration const step =
        settings_->requests_.key_window_ / read_positions_per_window;
    bool const due = shard.read_positions_.empty() ||
                     now - shard.read_positions_.back().at_ >= step;
    if (due && shard.state_.next() > 0)
    {
        shard.read_positions_.push_back({now, shard.state_.next() - 1});
    }
}

void claim_manager::forget_expired_keys(time_point now, gateway_log const& log,
                                        shard_state& shard)
{
    if (shard.read_positions_.empty() ||
        now - shard.read_positions_.front().at_ <
            settings_->requests_.key_window_)
    {
        return;
    }
    log_offset const up_to = shard.read_positions_.front().last_;
    shard.read_positions_.pop_front();
    // One gateway is enough, so only the one with the highest rendezvous weight
    // proposes the record. If it fails to, keys are remembered for longer.
    std::string const& name = shard.tail_.stream().text();
    std::string const& self = settings_->self_.node_.text();
    for (auto const& item : log.fleet().gateways().all())
    {
        if (rendezvous_weight(item.first.text(), name) >
            rendezvous_weight(self, name))
        {
            return;
        }
    }
    if (up_to >= shard.state_.data().forgotten_before_)
    {
        shard.writer_.propose(claims_forgotten{up_to});
    }
}

} // namespace cuminfold
