#include "cli/check_command.hpp"

#include "config/merge_files.hpp"
#include "config/operators_folder.hpp"
#include "config/section_reader.hpp"
#include "transport/program.hpp"

#include <iostream>

namespace cuminfold
{

int run_check(command_arguments const& arguments)
{
    if (arguments.words_.size() != 1)
    {
        throw usage_error("check takes one folder");
    }
    config_files const files = read_folder(arguments.words_.front());
    merge_result const merged = merge_files(files);
    for (auto const& error : merged.errors_)
    {
        std::cerr << format_error(error) << "\n";
    }
    if (!merged.errors_.empty())
    {
        return exit_usage;
    }
    std::cout << files.size() << " files, " << merged.state_->pools_.size()
              << " pools, " << merged.state_->services_.size() << " services, "
              << merged.state_->waves_.size() << " waves: valid\n";
    return exit_fine;
}

} // namespace cuminfold
