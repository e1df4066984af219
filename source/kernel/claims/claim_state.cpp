#include "kernel/claims/claim_state.hpp"

#include <utility>
#include <variant>

namespace cuminfold
{

void claim_state::apply(log_entry const& entry)
{
    if (entry.offset_ != data_.next_)
    {
        return;
    }
    for (auto const& item : entry.records_)
    {
        if (!data_.window_.accept(item.id_))
        {
            ignore(reason::record_duplicate);
            continue;
        }
        std::visit([&](auto const& body)
                   { fold(body, item.id_, entry.offset_); },
                   item.body_);
    }
    ++data_.next_;
}

bool claim_state::restore(claim_data data)
{
    if (data.next_ < data_.next_)
    {
        return false;
    }
    data_ = std::move(data);
    by_offset_.clear();
    for (auto const& item : data_.claims_)
    {
        by_offset_.emplace(item.second.opened_offset_, item.first);
    }
    return true;
}

claim_entry const* claim_state::find(claim_key const& key) const
{
    auto const found = data_.claims_.find(key);
    return found == data_.claims_.end() ? nullptr : &found->second;
}

std::uint64_t claim_state::ignored(reason cause) const
{
    return ignored_[static_cast<std::size_t>(cause)];
}

void claim_state::fold(claim_opened const& body, record_id const& id,
                       log_offset offset)
{
    claim_entry entry;
    entry.key_ = body.key_;
    entry.body_digest_ = body.body_digest_;
    entry.request_ = body.request_;
    entry.opened_ = id;
    entry.opened_offset_ = offset;
    if (!data_.claims_.emplace(body.key_, std::move(entry)).second)
    {
        ignore(reason::claim_taken);
        return;
    }
    by_offset_.emplace(offset, body.key_);
}

void claim_state::fold(claim_abandoned const& body, record_id const& id,
                       log_offset)
{
    claim_entry* const entry = find_of(body.key_, id.writer_);
    if (entry == nullptr || entry->phase_ != claim_phase::open)
    {
        ignore(reason::record_stale);
        return;
    }
    auto const range = by_offset_.equal_range(entry->opened_offset_);
    for (auto place = range.first; place != range.second; ++place)
    {
        if (place->second == body.key_)
        {
            by_offset_.erase(place);
            break;
        }
    }
    data_.claims_.erase(body.key_);
}

void claim_state::fold(claim_answered const& body, record_id const& id,
                       log_offset)
{
    claim_entry* const entry = find_of(body.key_, id.writer_);
    if (entry == nullptr || entry->phase_ == claim_phase::answered)
    {
        ignore(reason::record_stale);
        return;
    }
    // The claimant's own answer also settles an outcome that others called
    // unknown.
    entry->phase_ = claim_phase::answered;
    entry->status_ = body.status_;
    entry->content_type_ = body.content_type_;
    entry->kept_ = body.kept_;
    entry->answer_ = body.answer_;
}

void claim_state::fold(claim_unknown const& body, record_id const&, log_offset)
{
    claim_entry* const entry = find_of(body.key_, body.gateway_);
    if (entry == nullptr || entry->phase_ != claim_phase::open)
    {
        ignore(reason::record_stale);
        return;
    }
    entry->phase_ = claim_phase::unknown;
    entry->cause_ = body.cause_;
}

void claim_state::fold(claims_forgotten const& body, record_id const&,
                       log_offset)
{
    if (body.up_to_ >= data_.next_ ||
        body.up_to_ + 1 <= data_.forgotten_before_)
    {
        ignore(reason::record_stale);
        return;
    }
    data_.forgotten_before_ = body.up_to_ + 1;
    auto const end = by_offset_.upper_bound(body.up_to_);
    for (auto place = by_offset_.begin(); place != end; ++place)
    {
        data_.claims_.erase(place->second);
    }
    by_offset_.erase(by_offset_.begin(), end);
}

void claim_state::fold(unknown_body const& body, record_id const&, log_offset)
{
    data_.unknown_kinds_.insert(body.kind_);
    ignore(reason::record_unknown_kind);
}

void claim_state::ignore(reason cause)
{
    ++ignored_[static_cast<std::size_t>(cause)];
}

claim_entry* claim_state::find_of(claim_key const& key,
                                  incarnation const& claimant)
{
    auto const found = data_.claims_.find(key);
    bool const holds = found != data_.claims_.end() &&
                       found->second.opened_.writer_ == claimant;
    return holds ? &found->second : nullptr;
}

} // namespace cuminfold
