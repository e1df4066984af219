#include "kernel/config/config_state.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr std::size_t outcome_limit = 1024;

} // namespace

config_state::config_state(config_merger merger)
    : merger_(std::move(merger)),
      current_(std::make_shared<intended_state const>())
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
    outcome.conflicts_ = find_conflicts(*change);
    if (!outcome.conflicts_.empty())
    {
        outcome.why_ = reason::config_conflict;
        keep_outcome(std::move(outcome));
        return;
    }
    config_files files = files_;
    for (auto const& edit : change->edits_)
    {
        if (edit.removed_)
        {
            files.erase(edit.file_);
        }
        else
        {
            files[edit.file_] = config_file{edit.text_, offset};
        }
    }
    merge_result merged = merger_(files);
    if (!merged.errors_.empty() || !merged.state_)
    {
        outcome.why_ = reason::config_invalid;
        outcome.errors_ = std::move(merged.errors_);
        keep_outcome(std::move(outcome));
        return;
    }
    files_ = std::move(files);
    current_ = std::move(merged.state_);
    version_ = offset;
    history_[offset] = current_;
    outcome.accepted_ = true;
    keep_outcome(std::move(outcome));
}

std::vector<file_name>
config_state::find_conflicts(config_change const& change) const
{
    std::vector<file_name> conflicts;
    for (auto const& edit : change.edits_)
    {
        auto const found = files_.find(edit.file_);
        log_offset const revision =
            found == files_.end() ? no_offset : found->second.revision_;
        if (revision != edit.expected_revision_)
        {
            conflicts.push_back(edit.file_);
        }
    }
    return conflicts;
}

bool config_state::restore(config_files files, record_window window,
                           log_offset version, log_offset next)
{
    if (next < next_)
    {
        return false;
    }
    merge_result merged = merger_(files);
    if (!merged.errors_.empty() || !merged.state_)
    {
        return false;
    }
    files_ = std::move(files);
    window_ = std::move(window);
    version_ = version;
    next_ = next;
    current_ = std::move(merged.state_);
    if (version_ != no_offset)
    {
        history_[version_] = current_;
    }
    return true;
}

std::shared_ptr<intended_state const> config_state::at(log_offset offset) const
{
    if (offset == no_offset)
    {
        return std::make_shared<intended_state const>();
    }
    auto const after = history_.upper_bound(offset);
    if (after != history_.begin())
    {
        return std::prev(after)->second;
    }
    return version_ == no_offset ? current_ : nullptr;
}

void config_state::forget_before(log_offset offset)
{
    auto const after = history_.upper_bound(offset);
    if (after != history_.begin())
    {
        history_.erase(history_.begin(), std::prev(after));
    }
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
