#ifndef CUMINFOLD_KERNEL_CONFIG_CONFIG_STATE_HPP
#define CUMINFOLD_KERNEL_CONFIG_CONFIG_STATE_HPP

#include "kernel/identifier.hpp"
#include "kernel/intended_state.hpp"
#include "kernel/log/record_window.hpp"
#include "kernel/log_port.hpp"
#include "kernel/reason.hpp"
#include "kernel/record.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// One file in force.
struct config_file
{
    std::string text_;
    /// Offset of the change that last wrote it.
    log_offset revision_ = no_offset;
};

using config_files = std::map<file_name, config_file>;

/// One fault of the merged files.
struct config_error
{
    file_name file_;
    std::uint32_t line_ = 0; ///< counted from 1; 0: the file as a whole
    std::string key_;
    std::string what_;
};

/// What a merge gives: a state, or the faults why there is none.
struct merge_result
{
    std::shared_ptr<intended_state const> state_;
    std::vector<config_error> errors_;
};

/// Merges the files in the order of their names. Must depend on nothing else,
/// so that every process merges alike.
using config_merger = std::function<merge_result(config_files const&)>;

/// What became of one change.
struct change_outcome
{
    record_id id_;
    log_offset offset_ = 0;
    bool accepted_ = false;
    reason why_ = reason::config_conflict; ///< when not accepted
    /// Files whose expected revision was not the one in force.
    std::vector<file_name> conflicts_;
    std::vector<config_error> errors_;
};

/// The fold of the stream `config`.
///
/// A change takes effect only if every file that it edits is at the expected
/// revision and the merge of all files is valid. The version of the intended
/// state is the offset of the change that made it.
class config_state
{
public:
    explicit config_state(config_merger merger);

    /// Folds the entry at `next()`; any other offset is ignored.
    void apply(log_entry const& entry);

    /// Replaces all by a snapshot that holds the effects before `next`.
    /// @return false, and changes nothing, if that is older than what is held
    /// or the files do not merge.
    bool restore(config_files files, record_window window, log_offset version,
                 log_offset next);

    log_offset next() const noexcept
    {
        return next_;
    }
    /// Offset of the change in force; `no_offset`: none yet.
    log_offset version() const noexcept
    {
        return version_;
    }
    config_files const& files() const noexcept
    {
        return files_;
    }
    record_window const& window() const noexcept
    {
        return window_;
    }
    /// The state in force; empty before the first change.
    std::shared_ptr<intended_state const> const& current() const noexcept
    {
        return current_;
    }

    /// The state that was in force once the entry at `offset` was folded.
    /// Empty if that was forgotten; `no_offset` gives the empty state.
    std::shared_ptr<intended_state const> at(log_offset offset) const;

    /// The versions that are older than the one in force at `offset` are no
    /// longer asked for.
    void forget_before(log_offset offset);

    /// What became of a change, if it is among the last that were folded.
    change_outcome const* outcome(record_id const& id) const;

private:
    void apply_change(record const& item, log_offset offset);
    std::vector<file_name> find_conflicts(config_change const& change) const;
    void keep_outcome(change_outcome outcome);

    config_merger merger_;
    log_offset next_ = 0;
    log_offset version_ = no_offset;
    config_files files_;
    record_window window_;
    std::shared_ptr<intended_state const> current_;
    /// Version to state, for readers that judge by an older version.
    std::map<log_offset, std::shared_ptr<intended_state const>> history_;
    std::deque<change_outcome> outcomes_;
};

} // namespace cuminfold

#endif
