#include "config/merge_files.hpp"

#include "config/section_reader.hpp"
#include "config/sections/sections.hpp"
#include "config/utf8.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

/// The keys of one name over all files, and where it stands last.
struct merged_name
{
    located_place place_;
    located_map values_;
};

using section = std::map<std::string, merged_name>;
using errors = std::vector<config_error>;

/// Longest operators' file, in bytes.
constexpr std::size_t file_size_limit = 256 * 1024;

/// Longest name of a pool, service and so on, in bytes.
constexpr std::size_t name_limit = 64;

using reader = void (*)(section_reader&, std::string const&, intended_state&);

struct section_entry
{
    char const* name_;
    reader read_;
};

/// In an order in which each section names only those before it.
constexpr std::array<section_entry, 6> sections = {{
    {"pools", &detail::read_pool},
    {"services", &detail::read_service},
    {"budgets", &detail::read_budget},
    {"windows", &detail::read_window},
    {"waves", &detail::read_wave},
    {"teams", &detail::read_team},
}};

bool is_name(std::string const& text)
{
    auto const allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= name_limit &&
           std::all_of(text.begin(), text.end(), allowed);
}

/// Lays the values of one name over those of earlier files.
void overlay_name(section_entry const& entry, std::string const& name,
                  located_node const& item,
                  std::map<std::string, section>& merged, errors& faults)
{
    std::string const path = std::string(entry.name_) + "." + name;
    auto& names = merged[entry.name_];
    if (!is_name(name))
    {
        faults.push_back({item.file_, item.line_, entry.name_,
                          "a name has letters, digits, - and _, and at most " +
                              std::to_string(name_limit) + " of them"});
        return;
    }
    if (item.node_.IsNull())
    {
        names.erase(name);
        return;
    }
    names[name].place_ = {item.file_, item.line_};
    auto& values = names[name].values_;
    for (auto const& value : locate(item.file_, item.node_, path, faults))
    {
        values[value.first] = value.second;
    }
}

/// Lays one file's values over what the earlier files gave.
void overlay(file_name const& file, YAML::Node const& root,
             std::map<std::string, section>& merged, errors& faults)
{
    located_map const top = locate(file, root, "", faults);
    section_reader reader(top, "", faults);
    for (auto const& entry : sections)
    {
        for (auto const& item : reader.read_map(entry.name_))
        {
            overlay_name(entry, item.first, item.second, merged, faults);
        }
    }
    reader.finish();
}

void parse_file(file_name const& file, std::string const& text,
                std::map<std::string, section>& merged, errors& faults)
{
    if (text.size() > file_size_limit)
    {
        faults.push_back({file, 0, "", "larger than 256 KiB"});
        return;
    }
    if (!is_utf8(text))
    {
        faults.push_back({file, 0, "", "is not text in UTF-8"});
        return;
    }
    try
    {
        overlay(file, YAML::Load(text), merged, faults);
    }
    catch (YAML::Exception const& error)
    {
        auto const line = static_cast<std::uint32_t>(error.mark.line + 1);
        faults.push_back({file, line, "", error.msg});
    }
}

void note_provenance(section_entry const& entry, std::string const& name,
                     located_map const& values, intended_state& state)
{
    for (auto const& value : values)
    {
        state.provenance_[std::string(entry.name_) + "." + name + "." +
                          value.first] = value.second.file_;
    }
}

} // namespace

merge_result merge_files(config_files const& files)
{
    merge_result result;
    std::map<std::string, section> merged;
    for (auto const& item : files)
    {
        parse_file(item.first, item.second.text_, merged, result.errors_);
    }
    auto state = std::make_shared<intended_state>();
    for (auto const& entry : sections)
    {
        for (auto const& item : merged[entry.name_])
        {
            section_reader in(item.second.values_,
                              std::string(entry.name_) + "." + item.first,
                              result.errors_, item.second.place_);
            entry.read_(in, item.first, *state);
            in.finish();
            note_provenance(entry, item.first, item.second.values_, *state);
        }
    }
    if (result.errors_.empty())
    {
        result.state_ = std::move(state);
    }
    return result;
}

} // namespace cuminfold
