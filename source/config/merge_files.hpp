#ifndef CUMINFOLD_CONFIG_MERGE_FILES_HPP
#define CUMINFOLD_CONFIG_MERGE_FILES_HPP

#include "kernel/config/config_state.hpp"

namespace cuminfold
{

/// Merges the operators' files in the order of their names.
///
/// Sections are `pools`, `services`, `budgets`, `windows`, `waves` and
/// `teams`; each maps names to settings. A later file's value replaces an
/// earlier one's key by key; the value `null` removes a name. The merged
/// whole must be valid; all faults are given at once, each with its file and
/// line.
merge_result merge_files(config_files const& files);

} // namespace cuminfold

#endif
