#include "config/settings_file.hpp"

#include <fstream>
#include <iterator>

namespace cuminfold
{

namespace
{

std::string format_errors(std::vector<config_error> const& errors)
{
    std::string text;
    for (auto const& error : errors)
    {
        text += (text.empty() ? "" : "\n") + format_error(error);
    }
    return text;
}

} // namespace

settings_error::settings_error(std::vector<config_error> const& errors)
    : std::runtime_error(format_errors(errors))
{
}

void read_settings(std::string const& path,
                   std::function<void(section_reader&)> const& read)
{
    file_name const file{path};
    std::vector<config_error> errors;
    std::ifstream in(path, std::ios::binary);
    if (!in)
    {
        errors.push_back({file, 0, "", "cannot be read"});
        throw settings_error(errors);
    }
    std::string const text((std::istreambuf_iterator<char>(in)),
                           std::istreambuf_iterator<char>());
    try
    {
        located_map const values = locate(file, YAML::Load(text), "", errors);
        section_reader reader(values, "", errors);
        read(reader);
        reader.finish();
    }
    catch (YAML::Exception const& error)
    {
        auto const line = static_cast<std::uint32_t>(error.mark.line + 1);
        errors.push_back({file, line, "", error.msg});
    }
    if (!errors.empty())
    {
        throw settings_error(errors);
    }
}

} // namespace cuminfold
