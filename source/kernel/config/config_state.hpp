#ifndef CUMINFOLD_KERNEL_CONFIG_CONFIG_STATE_HPP
#define CUMINFOLD_KERNEL_CONFIG_CONFIG_STATE_HPP

#include "kernel/config/config_files.hpp"
#include "kernel/config/config_history.hpp"
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

/// A file that was not at the revision that a change expected.
struct config_conflict
{
    file_name file_;
    /// The revision in force; `no_offset`: the file does not exist.
    log_offset revision_ = no_offset;
    /// Who wrote the revision in force.
    std::string author_;
};

/// What became of one change.
struct change_outcome
{
    record_id id_;
    log_offset offset_ = 0;
    bool accepted_ = false;
    reason cause_ = reason::config_conflict; ///< when not accepted
    /// Files whose expected revision was not the one in force.
    std::vector<file_name> conflicts_;
    /// The same files with what is in force.
    std::vector<config_conflict> conflict_details_;
    std::vector<config_error> errors_;
};

/// What a snapshot of the stream `config` holds.
struct config_data
{
    /// Files of the oldest version held, which other folds may still judge by.
    config_files base_;
    log_offset base_version_ = no_offset;
    /// The changes since, to the one in force.
    std::deque<accepted_change> changes_;
    record_window window_;
    /// Offset of the next entry to fold.
    log_offset next_ = 0;
};

/// The configuration that was in force at an offset, carried by the snapshot
/// of a stream that judges by it.
struct config_pin
{
    log_offset offset_ = no_offset;
    log_offset version_ = no_offset;
    config_files files_;
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

    /// Replaces all by a snapshot that holds the effects before `next_`.
    /// @return false, and changes nothing, if that is older than what is held
    /// or the files do not merge.
    bool restore(config_data data);

    /// What a snapshot holds; the same for all that read as far.
    config_data data() const;

    /// Keeps the state of one offset, from the snapshot of another stream.
    /// @return false, and changes nothing, if the files do not merge.
    bool pin(config_pin const& pin);

    /// The files in force at an offset; empty if that was forgotten.
    std::optional<config_pin> pin_of(log_offset offset) const;

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
    /// Empty if that was forgotten; `no_offset` gives the empty state. Costs a
    /// merge when the answer is neither the state in force nor the last answer.
    std::shared_ptr<intended_state const> at(log_offset offset) const;

    /// The versions that are older than the one in force at `offset` are no
    /// longer asked for.
    void forget_before(log_offset offset);

    /// What became of a change, if it is among the last that were folded.
    change_outcome const* outcome(record_id const& id) const;

private:
    void apply_change(record const& item, log_offset offset);
    std::vector<config_conflict> find_conflicts(config_change const&) const;
    void keep_outcome(change_outcome outcome);

    config_merger merger_;
    log_offset next_ = 0;
    log_offset version_ = no_offset;
    config_files files_;
    record_window window_;
    std::shared_ptr<intended_state const> current_;
    config_history history_;
    /// The state of one offset that the history does not reach.
    log_offset pinned_offset_ = no_offset;
    config_files pinned_files_;
    log_offset pinned_version_ = no_offset;
    std::shared_ptr<intended_state const> pinned_;
    /// The last answer of `at()`.
    mutable log_offset cached_version_ = no_offset;
    mutable std::shared_ptr<intended_state const> cached_;
    std::deque<change_outcome> outcomes_;
};

} // namespace cuminfold

#endif
