#include "config/folder_revisions.hpp"

#include "config/operators_folder.hpp"

#include <charconv>
#include <filesystem>
#include <fstream>

namespace cuminfold
{

namespace
{

std::string path_in(std::string const& folder)
{
    return (std::filesystem::path(folder) / ".cuminfold-revisions").string();
}

} // namespace

folder_revisions read_revisions(std::string const& folder)
{
    std::string const path = path_in(folder);
    std::ifstream in(path);
    folder_revisions revisions;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number)
    {
        log_offset revision = 0;
        char const* const end = line.data() + line.size();
        auto const parsed = std::from_chars(line.data(), end, revision);
        bool const good = parsed.ec == std::errc{} && end - parsed.ptr > 1 &&
                          *parsed.ptr == ' ';
        if (!good)
        {
            throw folder_error(path + ":" + std::to_string(number) +
                               ": expected REVISION FILE, not '" + line + "'");
        }
        revisions[file_name{std::string(parsed.ptr + 1, end)}] = revision;
    }
    return revisions;
}

void write_revisions(std::string const& folder,
                     folder_revisions const& revisions)
{
    std::string const path = path_in(folder);
    std::ofstream out(path, std::ios::trunc);
    for (auto const& item : revisions)
    {
        out << item.second << " " << item.first << "\n";
    }
    if (!out.flush())
    {
        throw folder_error(path + ": cannot be written");
    }
}

} // namespace cuminfold
