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

/// Marks kept within one window of remembered keys.
constexpr int marks_per_window = 64;

/// Claims reported as lost that are kept in mind.
constexpr std::size_t reported_limit = 4096;

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

claim_verdict claim_manager::judge(gateway_log const& log, claim_key const& key,
                                   std::uint64_t body_digest)
{
    shard& at = shard_of(key);
    claim_entry const* const entry = at.state_.find(key);
    if (entry == nullptr)
    {
        if (at.asked_.count(key) != 0)
        {
            return claim_verdict::running;
        }
        return at.tail_.reachable() ? claim_verdict::free
                                    : claim_verdict::log_unavailable;
    }
    if (entry->body_digest_ != body_digest)
    {
        return claim_verdict::mismatch;
    }
    switch (entry->phase_)
    {
    case claim_phase::answered:
        return entry->kept_ ? claim_verdict::kept : claim_verdict::taken;
    case claim_phase::unknown:
        return claim_verdict::unknown;
    case claim_phase::open:
        break;
    }
    if (!claimant_gone(log, *entry))
    {
        return claim_verdict::running;
    }
    if (reported_.size() < reported_limit &&
        reported_.insert(entry->opened_).second)
    {
        at.writer_.propose(
            claim_unknown{key, entry->opened_.writer_, reason::claimant_lost});
    }
    return claim_verdict::unknown;
}

claim_entry const* claim_manager::find(claim_key const& key) const
{
    return shard_of(key).state_.find(key);
}

void claim_manager::open(time_point now, claim_key const& key,
                         std::uint64_t body_digest, request_id const& request)
{
    shard& at = shard_of(key);
    auto const record =
        at.writer_.propose(claim_opened{key, body_digest, request});
    at.asked_[key] = asked_claim{record, request, now};
}

void claim_manager::give_up(claim_key const& key)
{
    shard& at = shard_of(key);
    auto const asked = at.asked_.find(key);
    if (asked != at.asked_.end())
    {
        bool const withdrawn = at.writer_.withdraw(asked->second.record_);
        at.asked_.erase(asked);
        if (withdrawn)
        {
            return;
        }
    }
    at.writer_.propose(claim_abandoned{key});
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

std::vector<claim_settlement> claim_manager::take(time_point now,
                                                  log_read_result const& result)
{
    std::vector<claim_settlement> settled;
    shard* const at = find_shard(result.stream_);
    if (at == nullptr)
    {
        return settled;
    }
    for (auto const& entry : at->tail_.take(now, result))
    {
        at->state_.apply(entry);
        at->writer_.read_back(entry);
        settle(now, *at, entry, settled);
    }
    mark(now, *at);
    return settled;
}

void claim_manager::take(time_point now, log_append_result const& result)
{
    if (shard* const at = find_shard(result.stream_))
    {
        at->writer_.take(now, result);
    }
}

void claim_manager::poll(gateway_context& context, gateway_log const& log)
{
    for (auto& at : shards_)
    {
        forget(context.now_, log, at);
        if (auto read = at.tail_.poll(context.now_))
        {
            context.act(std::move(*read));
        }
        if (auto append = at.writer_.poll(context.now_))
        {
            context.act(std::move(*append));
        }
    }
}

bool claim_manager::settled() const
{
    return std::all_of(shards_.begin(), shards_.end(),
                       [](shard const& at)
                       { return at.writer_.waiting() == 0; });
}

claim_manager::shard& claim_manager::shard_of(claim_key const& key)
{
    return shards_[claim_shard(key, settings_->claim_shards_)];
}

claim_manager::shard const& claim_manager::shard_of(claim_key const& key) const
{
    return shards_[claim_shard(key, settings_->claim_shards_)];
}

claim_manager::shard* claim_manager::find_shard(stream_name const& stream)
{
    for (auto& at : shards_)
    {
        if (at.tail_.stream() == stream)
        {
            return &at;
        }
    }
    return nullptr;
}

bool claim_manager::claimant_gone(gateway_log const& log,
                                  claim_entry const& entry) const
{
    incarnation const& claimant = entry.opened_.writer_;
    if (claimant == settings_->self_)
    {
        return false;
    }
    return log.caught_up() && !log.fleet().gateways().live(claimant);
}

void claim_manager::settle(time_point now, shard& at, log_entry const& entry,
                           std::vector<claim_settlement>& settled)
{
    for (auto const& item : entry.records_)
    {
        auto const* opened = std::get_if<claim_opened>(&item.body_);
        if (opened == nullptr)
        {
            continue;
        }
        auto const asked = at.asked_.find(opened->key_);
        if (asked == at.asked_.end() || !(asked->second.record_ == item.id_))
        {
            continue;
        }
        claim_entry const* const holds = at.state_.find(opened->key_);
        bool const won = holds != nullptr && holds->opened_ == item.id_ &&
                         holds->phase_ == claim_phase::open;
        settled.push_back({asked->second.request_, opened->key_, won});
        latency_.add(now - asked->second.asked_at_);
        at.asked_.erase(asked);
    }
}

void claim_manager::mark(time_point now, shard& at)
{
    duration const step = settings_->requests_.key_window_ / marks_per_window;
    bool const due = at.marks_.empty() || now - at.marks_.back().at_ >= step;
    if (due && at.state_.next() > 0)
    {
        at.marks_.push_back({now, at.state_.next() - 1});
    }
}

void claim_manager::forget(time_point now, gateway_log const& log, shard& at)
{
    if (at.marks_.empty() ||
        now - at.marks_.front().at_ < settings_->requests_.key_window_)
    {
        return;
    }
    log_offset const up_to = at.marks_.front().last_;
    at.marks_.pop_front();
    // One gateway is enough; without it the keys are remembered for longer.
    std::string const& name = at.tail_.stream().text();
    std::string const& self = settings_->self_.node_.text();
    for (auto const& item : log.fleet().gateways().all())
    {
        if (rendezvous_weight(item.first.text(), name) >
            rendezvous_weight(self, name))
        {
            return;
        }
    }
    if (up_to >= at.state_.data().forgotten_before_)
    {
        at.writer_.propose(claims_forgotten{up_to});
    }
}

} // namespace cuminfold
