#include "cli/folder_check.hpp"

#include "config/merge_files.hpp"
#include "config/operators_folder.hpp"
#include "config/section_reader.hpp"

#include <iostream>

namespace cuminfold
{

checked_folder check_folder(std::string const& path)
{
    checked_folder folder;
    folder.files_ = read_folder(path);
    if (folder.files_.empty())
    {
        // Applying an empty folder would remove every file in force.
        throw folder_error(path + ": holds no *.yaml file");
    }
    folder.merged_ = merge_files(folder.files_);
    return folder;
}

void print_errors(std::vector<config_error> const& errors)
{
    for (auto const& error : errors)
    {
        std::cerr << format_error(error) << "\n";
    }
}

} // namespace cuminfold
