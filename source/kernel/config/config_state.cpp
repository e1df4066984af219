#include "kernel/config/config_state.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr std::size_t outcome_limit = 1024;
/// Changes that a snapshot holds besides the oldest files: readers of another
/// stream may lag by as many.
constexpr std::size_t history_kept = 256;

std::shared_ptr<intended_state const> const& empty_state()
{
    static auto const state = std::make_shared<intended_state const>();
    return state;
}

} // namespace

config_state::config_state(config_merger merger)
    : merger_(std::move(merger)), current_(empty_state())
{
}

void config_state::apply(log_entry const& entry)
{
    if (entry.offset_ != next_)
    {
        return;
    }
    for (auto const& item : entry.records_)
    {
        if (window_.accept(item.id_))
        {
            apply_change(item, entry.offset_);
        }
    }
    ++next_;
}

void config_state::apply_change(record const& item, log_offset offset)
{
    auto const* change = std::get_if<config_change>(&item.body_);
    if (change == nullptr)
    {
        return;
    }
    change_outcome outcome;
    outcome.id_ = item.id_;
    outcome.offset_ = offset;
    outcome.conflict_details_ = find_conflicts(*change);
    if (!outcome.conflict_details_.empty())
    {
        for (auto const& conflict : outcome.conflict_details_)
        {
            outcome.conflicts_.push_back(conflict.file_);
        }
        outcome.cause_ = reason::config_conflict;
        keep_outcome(std::move(outcome));
        return;
    }
    accepted_change accepted{offset, change->author_, change->edits_};
    config_files files = files_;
    apply_edits(files, accepted);
    merge_result merged = merger_(files);
    if (!merged.errors_.empty() || !merged.state_)
    {
        outcome.cause_ = reason::config_invalid;
        outcome.errors_ = std::move(merged.errors_);
        keep_outcome(std::move(outcome));
        return;
    }
    files_ = std::move(files);
    current_ = std::move(merged.state_);
    version_ = offset;
    history_.add(std::move(accepted));
    outcome.accepted_ = true;
    keep_outcome(std::move(outcome));
}

std::vector<config_conflict>
config_state::find_conflicts(config_change const& change) const
{
    std::vector<config_conflict> conflicts;
    for (auto const& edit : change.edits_)
    {
        auto const found = files_.find(edit.file_);
        config_file const in_force =
            found == files_.end() ? config_file{} : found->second;
        if (in_force.revision_ != edit.expected_revision_)
        {
            conflicts.push_back(
                {edit.file_, in_force.revision_, in_force.author_});
        }
    }
    return conflicts;
}

bool config_state::restore(config_data data)
{
    if (data.next_ < next_)
    {
        return false;
    }
    config_history history;
    history.reset(std::move(data.base_), data.base_version_,
                  std::move(data.changes_));
    log_offset const version = history.changes().empty()
                                   ? history.base_version()
                                   : history.changes().back().offset_;
    config_files files = history.files_of(version);
    auto state = empty_state();
    if (version != no_offset)
    {
        merge_result merged = merger_(files);
        if (!merged.errors_.empty() || !merged.state_)
        {
            return false;
        }
        state = std::move(merged.state_);
    }
    history_ = std::move(history);
    files_ = std::move(files);
    window_ = std::move(data.window_);
    version_ = version;
    next_ = data.next_;
    current_ = std::move(state);
    cached_.reset();
    return true;
}

config_data config_state::data() const
{
    config_history const kept = history_.last(history_kept);
    config_data data;
    data.base_ = kept.base();
    data.base_version_ = kept.base_version();
    data.changes_ = kept.changes();
    data.window_ = window_;
    data.next_ = next_;
    return data;
}

bool config_state::pin(config_pin const& pin)
{
    if (pin.version_ == no_offset)
    {
        pinned_ = empty_state();
    }
    else
    {
        merge_result merged = merger_(pin.files_);
        if (!merged.errors_.empty() || !merged.state_)
        {
            return false;
        }
        pinned_ = std::move(merged.state_);
    }
    pinned_offset_ = pin.offset_;
    pinned_version_ = pin.version_;
    pinned_files_ = pin.files_;
    return true;
}

std::optional<config_pin> config_state::pin_of(log_offset offset) const
{
    if (offset == no_offset)
    {
        return config_pin{};
    }
    if (pinned_ && offset == pinned_offset_)
    {
        return config_pin{offset, pinned_version_, pinned_files_};
    }
    auto const version = history_.version_at(offset);
    if (!version)
    {
        return std::nullopt;
    }
    return config_pin{offset, *version, history_.files_of(*version)};
}

std::shared_ptr<intended_state const> config_state::at(log_offset offset) const
{
    if (offset == no_offset)
    {
        return empty_state();
    }
    if (pinned_ && offset == pinned_offset_)
    {
        return pinned_;
    }
    auto const version = history_.version_at(offset);
    if (!version)
    {
        return nullptr;
    }
    if (*version == version_)
    {
        return current_;
    }
    if (*version == no_offset)
    {
        return empty_state();
    }
    if (!cached_ || cached_version_ != *version)
    {
        cached_ = merger_(history_.files_of(*version)).state_;
        cached_version_ = *version;
    }
    return cached_;
}

void config_state::forget_before(log_offset offset)
{
    history_.forget_before(offset, history_kept);
}

change_outcome const* config_state::outcome(record_id const& id) const
{
    auto const found =
        std::find_if(outcomes_.rbegin(), outcomes_.rend(),
                     [&](change_outcome const& o) { return o.id_ == id; });
    return found == outcomes_.rend() ? nullptr : &*found;
}

void config_state::keep_outcome(change_outcome outcome)
{
    outcomes_.push_back(std::move(outcome));
    if (outcomes_.size() > outcome_limit)
    {
        outcomes_.pop_front();
    }
}

} // namespace cuminfold
