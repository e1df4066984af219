#ifndef CUMINFOLD_KERNEL_CONFIG_CONFIG_HISTORY_HPP
#define CUMINFOLD_KERNEL_CONFIG_CONFIG_HISTORY_HPP

#include "kernel/config/config_files.hpp"
#include "kernel/identifier.hpp"
#include "kernel/record.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// One change that took effect.
struct accepted_change
{
    log_offset offset_ = 0;
    std::string author_;
    std::vector<file_edit> edits_;
};

/// Writes a change's edits into the files.
void apply_edits(config_files& files, accepted_change const& change);

/// The files of the latest versions: those of the oldest one, and the changes
/// since.
class config_history
{
public:
    /// Starts from a snapshot.
    void reset(config_files base, log_offset base_version,
               std::deque<accepted_change> changes);

    void add(accepted_change change);

    /// Version that was in force at an offset; empty if that is forgotten.
    std::optional<log_offset> version_at(log_offset offset) const;

    /// Files of a version that `version_at()` gave.
    config_files files_of(log_offset version) const;

    /// Forgets versions older than the one in force at `offset`, but for the
    /// last `kept` changes.
    void forget_before(log_offset offset, std::size_t kept);

    /// The oldest version that is left when only the last `kept` changes are.
    config_history last(std::size_t kept) const;

    config_files const& base() const noexcept
    {
        return base_;
    }
    log_offset base_version() const noexcept
    {
        return base_version_;
    }
    std::deque<accepted_change> const& changes() const noexcept
    {
        return changes_;
    }

private:
    void drop_oldest();

    config_files base_;
    /// `no_offset`: before the first change.
    log_offset base_version_ = no_offset;
    std::deque<accepted_change> changes_;
};

} // namespace cuminfold

#endif
