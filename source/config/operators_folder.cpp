#include "config/operators_folder.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace cuminfold
{

config_files read_folder(std::string const& path)
{
    namespace fs = std::filesystem;
    std::error_code error;
    fs::directory_iterator place(path, error);
    if (error)
    {
        throw folder_error(path + ": cannot be read: " + error.message());
    }
    config_files files;
    for (auto const& item : place)
    {
        if (!item.is_regular_file() || item.path().extension() != ".yaml")
        {
            continue;
        }
        std::ifstream in(item.path(), std::ios::binary);
        std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
        if (!in)
        {
            throw folder_error(item.path().string() + ": cannot be read");
        }
        files[file_name{item.path().filename().string()}].text_ =
            std::move(text);
    }
    return files;
}

} // namespace cuminfold
