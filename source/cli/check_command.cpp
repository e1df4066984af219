#include "cli/command_table.hpp"
#include "cli/folder_check.hpp"
#include "config/section_reader.hpp"
#include "transport/program.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

namespace cuminfold
{

namespace
{

using nlohmann::json;

void print_json(checked_folder const& folder)
{
    json errors = json::array();
    for (auto const& error : folder.merged_.errors_)
    {
        errors.push_back({{"file", error.file_.text()},
                          {"line", error.line_},
                          {"key", error.key_},
                          {"what", error.what_}});
    }
    json const body = {{"files", folder.files_.size()},
                       {"valid", errors.empty()},
                       {"errors", errors}};
    std::cout << body.dump(2) << "\n";
}

int run_check(command_arguments const& arguments)
{
    if (arguments.positional_.size() != 1)
    {
        throw usage_error("check takes one folder");
    }
    checked_folder const folder = check_folder(arguments.positional_.front());
    bool const valid = folder.merged_.errors_.empty();
    if (arguments.json_)
    {
        print_json(folder);
    }
    else if (!valid)
    {
        print_errors(folder.merged_.errors_);
    }
    else
    {
        auto const& state = *folder.merged_.state_;
        std::cout << folder.files_.size() << " files, " << state.pools_.size()
                  << " pools, " << state.services_.size() << " services, "
                  << state.waves_.size() << " waves: valid\n";
    }
    return valid ? exit_fine : exit_usage;
}

constexpr char const* help_text =
    R"(Reads the *.yaml files directly in DIR, merges them in the order of their
names and validates the whole, without asking a controller. Each fault is given
as FILE:LINE: KEY: what is wrong, all at once, and the exit status is then 2.
)";

} // namespace

command make_check_command()
{
    return {"check", "check DIR",
            "Merge and validate a folder of operators' files, offline.",
            help_text, &run_check};
}

} // namespace cuminfold
