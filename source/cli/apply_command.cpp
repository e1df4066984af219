#include "cli/command_table.hpp"
#include "cli/config_client.hpp"
#include "cli/controller_client.hpp"
#include "cli/folder_check.hpp"
#include "cli/folder_edits.hpp"
#include "config/folder_revisions.hpp"
#include "config/section_reader.hpp"
#include "transport/program.hpp"

#include <iostream>
#include <string>

namespace cuminfold
{

namespace
{

using nlohmann::json;

json change_to_json(command_arguments const& arguments,
                    folder_edits const& diff)
{
    json edits = json::array();
    for (auto const& edit : diff.edits_)
    {
        json const expected = edit.expected_revision_ == no_offset
                                  ? json()
                                  : json(edit.expected_revision_);
        edits.push_back({{"file", edit.file_.text()},
                         {"removed", edit.removed_},
                         {"text", edit.text_},
                         {"expected", expected}});
    }
    return {{"author", arguments.author_}, {"edits", edits}};
}

/// Writes the revision of each file to the folder after the change at `offset`:
/// a file that the change left alone keeps its revision in force.
void record_revisions(std::string const& path, config_files const& wanted,
                      config_files const& in_force, log_offset offset)
{
    folder_revisions revisions;
    for (auto const& item : wanted)
    {
        auto const current = in_force.find(item.first);
        bool const same = current != in_force.end() &&
                          current->second.text_ == item.second.text_;
        revisions[item.first] = same ? current->second.revision_ : offset;
    }
    write_revisions(path, revisions);
}

int report_conflicts(folder_edits const& diff, std::string const& path)
{
    for (auto const& conflict : diff.conflicts_)
    {
        std::cerr << format_conflict(conflict) << "\n";
    }
    std::cerr << "cuminfold: nothing was sent; read what is in force with "
                 "'cuminfold get --into FOLDER' and bring "
              << path << " up to it, or apply with --overwrite\n";
    return exit_failed;
}

/// Prints why the controller refused a change and returns the exit status.
/// Status 504 means that the outcome is unknown.
int report_refusal(command_arguments const& arguments,
                   controller_answer const& answer)
{
    json const& body = answer.body_;
    if (answer.status_ == 504)
    {
        std::cerr << "cuminfold: the change's outcome is unknown; read back "
                     "with 'cuminfold get' before applying again\n";
        return exit_failed;
    }
    if (!body.is_object())
    {
        std::cerr << "cuminfold: refused with status " << answer.status_
                  << "\n";
        return exit_failed;
    }
    json const conflicts = body.value("conflicts", json::array());
    if (!conflicts.empty())
    {
        auto const latest = parse_files(read_resource(arguments, "/v1/config"));
        for (auto const& name : conflicts)
        {
            file_name const file{name.get<std::string>()};
            auto const found = latest.find(file);
            std::cerr << file << ": conflict: somebody else wrote "
                      << (found == latest.end()
                              ? std::string("its removal")
                              : "revision " +
                                    std::to_string(found->second.revision_))
                      << " meanwhile\n";
        }
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
              << "; what was in force stays in force\n";
    return exit_failed;
}

int confirm(command_arguments const& arguments, log_offset offset)
{
    if (!arguments.wait_ || wait_for_confirmations(arguments, offset))
    {
        return exit_fine;
    }
    std::cerr << "cuminfold: the change is in force; these nodes had not "
                 "confirmed it in time\n";
    return exit_failed;
}

int send_change(command_arguments const& arguments, std::string const& path,
                config_files const& wanted, config_files const& in_force,
                folder_edits const& diff)
{
    auto const answer = send_request(arguments, "POST", "/v1/config/changes",
                                     change_to_json(arguments, diff).dump());
    if (answer.status_ != 200)
    {
        return report_refusal(arguments, answer);
    }
    auto const offset = answer.body_.at("offset").get<log_offset>();
    record_revisions(path, wanted, in_force, offset);
    for (auto const& edit : diff.edits_)
    {
        std::cout << (edit.removed_ ? "removed " : "put ") << edit.file_
                  << "\n";
    }
    std::cout << "offset " << offset << " is in force\n";
    return confirm(arguments, offset);
}

int run_apply(command_arguments const& arguments)
{
    if (arguments.positional_.size() != 1)
    {
        throw usage_error("apply takes one folder");
    }
    std::string const& path = arguments.positional_.front();
    checked_folder const folder = check_folder(path);
    if (!folder.merged_.errors_.empty())
    {
        print_errors(folder.merged_.errors_);
        return exit_usage;
    }
    auto const read = read_revisions(path);
    json const current = read_resource(arguments, "/v1/config");
    auto const in_force = parse_files(current);
    auto const diff =
        compare_folder(folder.files_, in_force, read, arguments.overwrite_);
    if (!diff.conflicts_.empty())
    {
        return report_conflicts(diff, path);
    }
    if (!diff.edits_.empty())
    {
        return send_change(arguments, path, folder.files_, in_force, diff);
    }
    auto const offset = current.at("offset").get<log_offset>();
    record_revisions(path, folder.files_, in_force, offset);
    std::cout << "nothing to change; offset " << offset << " is in force\n";
    return confirm(arguments, offset);
}

constexpr char const* help_text =
    R"(Makes the *.yaml files of DIR the intended state: checks them as 'check' does,
and sends what differs from the files in force as one change that takes effect
whole or not at all.

Each file carries the revision that it edits, which DIR keeps in its file
.cuminfold-revisions; put that under version control with the rest. A file that
somebody else has changed since is a conflict: nothing is sent, and the file
and its revision in force are named. --overwrite edits whatever is in force.

--wait waits, up to --timeout, until every live node has confirmed the change,
and names those that have not.
)";

} // namespace

command make_apply_command()
{
    return {"apply", "apply DIR [--wait] [--overwrite]",
            "Make the folder the intended state: send puts and removals.",
            help_text, &run_apply};
}

} // namespace cuminfold
