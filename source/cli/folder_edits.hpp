#ifndef CUMINFOLD_CLI_FOLDER_EDITS_HPP
#define CUMINFOLD_CLI_FOLDER_EDITS_HPP

#include "config/folder_revisions.hpp"
#include "kernel/config/config_state.hpp"
#include "kernel/record.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// A file whose revision in force is not the one that the folder edits.
struct folder_conflict
{
    file_name file_;
    /// Revision in force; `no_offset`: no such file is in force.
    log_offset in_force_ = no_offset;
    /// Revision that the folder edits; `no_offset`: the folder has never read
    /// the file.
    log_offset edited_ = no_offset;
};

/// The edits that turn the files in force into the folder's, and the files that
/// cannot be edited because of a conflict.
struct folder_edits
{
    std::vector<file_edit> edits_;
    std::vector<folder_conflict> conflicts_;
};

/// Compares a folder with the files in force.
///
/// Each file whose text differs becomes an edit if the revision in force is the
/// one that the folder has read (`read`), and a conflict otherwise. A file in
/// force that the folder does not hold is removed only if the folder has read
/// its revision in force; a file that somebody else added is a conflict. With
/// `overwrite` there are no conflicts: each edit replaces the revision in
/// force.
folder_edits compare_folder(config_files const& wanted,
                            config_files const& in_force,
                            folder_revisions const& read, bool overwrite);

/// Formats a conflict for the operator as `FILE: conflict: ...`, with the
/// revision in force and the one that the folder edits.
std::string format_conflict(folder_conflict const& conflict);

} // namespace cuminfold

#endif
