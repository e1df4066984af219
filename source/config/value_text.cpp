#include "config/value_text.hpp"

#include <yaml-cpp/yaml.h>

namespace cuminfold
{

namespace
{

/// The value at `section.name.key`; a name may not hold a dot.
std::string write_value(YAML::Node const& root, std::string const& path)
{
    auto const first = path.find('.');
    auto const last = path.rfind('.');
    if (first == std::string::npos || first == last)
    {
        return "";
    }
    YAML::Node const value =
        root[path.substr(0, first)][path.substr(first + 1, last - first - 1)]
            [path.substr(last + 1)];
    YAML::Emitter out;
    out.SetMapFormat(YAML::Flow);
    out.SetSeqFormat(YAML::Flow);
    out << value;
    return out.c_str();
}

} // namespace

std::map<std::string, std::string> write_values(config_files const& files,
                                                intended_state const& state)
{
    std::map<file_name, YAML::Node> roots;
    for (auto const& item : files)
    {
        roots[item.first] = YAML::Load(item.second.text_);
    }
    std::map<std::string, std::string> values;
    for (auto const& item : state.provenance_)
    {
        values[item.first] = write_value(roots[item.second], item.first);
    }
    return values;
}

} // namespace cuminfold
