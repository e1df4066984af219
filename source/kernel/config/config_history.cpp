#include "kernel/config/config_history.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

void apply_edits(config_files& files, accepted_change const& change)
{
    for (auto const& edit : change.edits_)
    {
        if (edit.removed_)
        {
            files.erase(edit.file_);
        }
        else
        {
            files[edit.file_] =
                config_file{edit.text_, change.offset_, change.author_};
        }
    }
}

void config_history::reset(config_files base, log_offset base_version,
                           std::deque<accepted_change> changes)
{
    base_ = std::move(base);
    base_version_ = base_version;
    changes_ = std::move(changes);
}

void config_history::add(accepted_change change)
{
    changes_.push_back(std::move(change));
}

std::optional<log_offset> config_history::version_at(log_offset offset) const
{
    if (offset == no_offset)
    {
        return base_version_ == no_offset ? std::make_optional(no_offset)
                                          : std::nullopt;
    }
    auto const after =
        std::upper_bound(changes_.begin(), changes_.end(), offset,
                         [](log_offset at, accepted_change const& change)
                         { return at < change.offset_; });
    if (after != changes_.begin())
    {
        return std::prev(after)->offset_;
    }
    if (base_version_ == no_offset || base_version_ <= offset)
    {
        return base_version_;
    }
    return std::nullopt;
}

config_files config_history::files_of(log_offset version) const
{
    config_files files = base_;
    for (auto const& change : changes_)
    {
        if (version == no_offset || change.offset_ > version)
        {
            break;
        }
        apply_edits(files, change);
    }
    return files;
}

void config_history::forget_before(log_offset offset, std::size_t kept)
{
    while (changes_.size() > kept && offset != no_offset &&
           changes_.front().offset_ <= offset)
    {
        drop_oldest();
    }
}

config_history config_history::last(std::size_t kept) const
{
    config_history result = *this;
    while (result.changes_.size() > kept)
    {
        result.drop_oldest();
    }
    return result;
}

void config_history::drop_oldest()
{
    apply_edits(base_, changes_.front());
    base_version_ = changes_.front().offset_;
    changes_.pop_front();
}

} // namespace cuminfold
