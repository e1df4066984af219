#include "cli/apply_command.hpp"

#include "cli/controller_client.hpp"
#include "config/merge_files.hpp"
#include "config/operators_folder.hpp"
#include "config/section_reader.hpp"
#include "transport/program.hpp"

#include <iostream>
#include <string>

namespace cuminfold
{

namespace
{

using nlohmann::json;

/// Edits that turn the files in force into the folder's.
json list_edits(config_files const& wanted, json const& in_force)
{
    json edits = json::array();
    for (auto const& item : wanted)
    {
        std::string const& name = item.first.text();
        bool const known = in_force.contains(name);
        if (known && in_force[name]["text"] == item.second.text_)
        {
            continue;
        }
        edits.push_back(
            {{"file", name},
             {"text", item.second.text_},
             {"expected", known ? in_force[name]["revision"] : json()}});
    }
    for (auto const& item : in_force.items())
    {
        if (wanted.count(file_name{item.key()}) == 0)
        {
            edits.push_back({{"file", item.key()},
                             {"removed", true},
                             {"expected", item.value()["revision"]}});
        }
    }
    return edits;
}

int report_refusal(controller_answer const& answer)
{
    json const& body = answer.body_;
    if (answer.status_ == 504)
    {
        std::cerr << "cuminfold: the change's outcome is unknown; read back "
                     "with 'cuminfold get' before applying again\n";
        return exit_failed;
    }
    for (auto const& file : body.value("conflicts", json::array()))
    {
        std::cerr << file.get<std::string>()
                  << ": conflict: it was changed by somebody else; read it "
                     "back and apply again\n";
    }
    for (auto const& error : body.value("errors", json::array()))
    {
        std::cerr << format_error({file_name{error.value("file", "")},
                                   error.value("line", 0U),
                                   error.value("key", ""),
                                   error.value("what", "")})
                  << "\n";
    }
    std::cerr << "cuminfold: refused: " << body.value("reason", "unknown")
              << "\n";
    return exit_failed;
}

} // namespace

int run_apply(command_arguments const& arguments)
{
    if (arguments.words_.size() != 1)
    {
        throw usage_error("apply takes one folder");
    }
    config_files const wanted = read_folder(arguments.words_.front());
    merge_result const merged = merge_files(wanted);
    if (!merged.errors_.empty())
    {
        for (auto const& error : merged.errors_)
        {
            std::cerr << format_error(error) << "\n";
        }
        return exit_usage;
    }
    auto const current = ask_controller(arguments, "GET", "/v1/config");
    json const edits =
        list_edits(wanted, current.body_.value("files", json::object()));
    if (edits.empty())
    {
        std::cout << "nothing to change; offset "
                  << current.body_["offset"].dump() << " is in force\n";
        return exit_fine;
    }
    json const change = {{"author", arguments.author_}, {"edits", edits}};
    auto const answer =
        ask_controller(arguments, "POST", "/v1/config/changes", change.dump());
    if (answer.status_ != 200)
    {
        return report_refusal(answer);
    }
    std::cout << edits.size() << " files changed; offset "
              << answer.body_["offset"].dump() << " is in force\n";
    return exit_fine;
}

} // namespace cuminfold
