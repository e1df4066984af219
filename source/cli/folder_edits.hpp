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
    /// `no_offset`: no such file is in force.
    log_offset in_force_ = no_offset;
    /// `no_offset`: the folder has never read the file.
    log_offset edited_ = no_offset;
};

/// What turns the files in force into the folder's.
struct folder_edits
{
    std::vector<file_edit> edits_;
    std::vector<folder_conflict> conflicts_;
};

/// Compares a folder with the files in force.
///
/// A file that differs is edited from the revision that the folder has read;
/// if another one is in force, that is a conflict. A file that only others
/// know is a conflict too, never a removal. `overwrite` edits whatever is in
/// force instead.
folder_edits compare_folder(config_files const& wanted,
                            config_files const& in_force,
                            folder_revisions const& read, bool overwrite);

/// `FILE: conflict: ...` for the operator.
std::string format_conflict(folder_conflict const& conflict);

} // namespace cuminfold

#endif
