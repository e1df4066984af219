#include "cli/folder_edits.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

log_offset find_revision(folder_revisions const& revisions,
                         file_name const& file)
{
    auto const found = revisions.find(file);
    return found == revisions.end() ? no_offset : found->second;
}

void add_edit(folder_edits& result, file_edit edit, log_offset in_force,
              log_offset edited, bool overwrite)
{
    if (in_force != edited && !overwrite)
    {
        result.conflicts_.push_back({edit.file_, in_force, edited});
        return;
    }
    edit.expected_revision_ = in_force;
    result.edits_.push_back(std::move(edit));
}

std::string describe_revision(log_offset revision, char const* none)
{
    return revision == no_offset ? none
                                 : "revision " + std::to_string(revision);
}

} // namespace

folder_edits compare_folder(config_files const& wanted,
                            config_files const& in_force,
                            folder_revisions const& read, bool overwrite)
{
    folder_edits result;
    for (auto const& item : wanted)
    {
        auto const current = in_force.find(item.first);
        bool const exists = current != in_force.end();
        if (exists && current->second.text_ == item.second.text_)
        {
            continue;
        }
        // A file that somebody else removed and this folder still holds is a
        // conflict; it is restored only with `overwrite`.
        add_edit(result, {item.first, false, item.second.text_, no_offset},
                 exists ? current->second.revision_ : no_offset,
                 find_revision(read, item.first), overwrite);
    }
    for (auto const& item : in_force)
    {
        if (wanted.count(item.first) == 0)
        {
            add_edit(result, {item.first, true, "", no_offset},
                     item.second.revision_, find_revision(read, item.first),
                     overwrite);
        }
    }
    return result;
}

std::string format_conflict(folder_conflict const& conflict)
{
    return conflict.file_.text() + ": conflict: " +
           describe_revision(conflict.in_force_, "no such file") +
           " is in force, this folder edits " +
           describe_revision(conflict.edited_, "no revision of it");
}

} // namespace cuminfold
