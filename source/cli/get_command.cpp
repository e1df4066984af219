#include "cli/command_table.hpp"
#include "cli/config_client.hpp"
#include "cli/controller_client.hpp"
#include "cli/table_text.hpp"
#include "config/folder_revisions.hpp"
#include "config/operators_folder.hpp"
#include "transport/program.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace cuminfold
{

namespace
{

using nlohmann::json;

/// True if `key` is `path` or lies below it; an empty path matches every key.
bool is_at_or_below(std::string const& key, std::string const& path)
{
    return path.empty() || key == path ||
           (key.rfind(path, 0) == 0 && key[path.size()] == '.');
}

int print_values(json const& body, std::string const& path)
{
    std::cout << "offset " << format_cell(body.at("offset")) << "\n";
    bool found = path.empty();
    for (auto const& item : body.at("values").items())
    {
        if (is_at_or_below(item.key(), path))
        {
            found = true;
            std::cout << item.key() << " = "
                      << format_cell(item.value().at("value")) << "  ("
                      << format_cell(item.value().at("file")) << ")\n";
        }
    }
    if (!found)
    {
        std::cerr << "cuminfold: nothing is in force below '" << path << "'\n";
        return exit_failed;
    }
    return exit_fine;
}

void write_text(std::filesystem::path const& path, std::string const& text)
{
    std::ofstream out(path, std::ios::binary | std::ios::trunc);
    out << text;
    if (!out.flush())
    {
        throw folder_error(path.string() + ": cannot be written");
    }
}

/// Writes the files in force, with their revisions, into a new or empty folder.
/// @throws folder_error if the folder holds files, if a file's name contains a
/// directory, or if a file cannot be written
int write_folder(json const& body, std::string const& path)
{
    namespace fs = std::filesystem;
    std::error_code error;
    fs::create_directories(path, error);
    if (error || !fs::is_empty(path, error))
    {
        throw folder_error(path + ": is not a new or empty folder");
    }
    folder_revisions revisions;
    auto const files = parse_files(body);
    for (auto const& item : files)
    {
        fs::path const name = fs::path(item.first.text()).filename();
        if (name != item.first.text())
        {
            throw folder_error(item.first.text() + ": is not a file name");
        }
        write_text(fs::path(path) / name, item.second.text_);
        revisions[item.first] = item.second.revision_;
    }
    write_revisions(path, revisions);
    std::cout << files.size() << " files of offset "
              << format_cell(body.at("offset")) << " written to " << path
              << "\n";
    return exit_fine;
}

int run_get(command_arguments const& arguments)
{
    if (arguments.positional_.size() > 1)
    {
        throw usage_error("get takes at most one key");
    }
    json const body = read_resource(arguments, "/v1/config");
    if (!arguments.into_.empty())
    {
        return write_folder(body, arguments.into_);
    }
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
        return exit_fine;
    }
    return print_values(body, arguments.positional_.empty()
                                  ? ""
                                  : arguments.positional_.front());
}

constexpr char const* help_text =
    R"(Prints the offset that is in force and, for each setting, its value and the
file that it came from: KEY = VALUE  (FILE). KEY limits that to one setting or
to all below it, such as pools.tally. --output json adds the files' texts and
revisions. --into FOLDER writes the files in force into a new folder, ready to
be edited and applied.
)";

} // namespace

command make_get_command()
{
    return {"get", "get [KEY] [--into FOLDER]",
            "Show what is in force, with the file of each value.", help_text,
            &run_get};
}

} // namespace cuminfold
