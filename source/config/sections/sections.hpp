#ifndef CUMINFOLD_CONFIG_SECTIONS_SECTIONS_HPP
#define CUMINFOLD_CONFIG_SECTIONS_SECTIONS_HPP

#include "config/section_reader.hpp"
#include "kernel/intended_state.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// The sections of the operators' files, one file each. A reader takes the
/// merged keys of one name, such as `pools.tally`, and adds what they say to
/// the state; faults go to the section's reader.

namespace cuminfold::detail
{

/// Largest count that a file may give: VMs, slots.
inline constexpr std::uint32_t count_limit = 100'000;

void read_pool(section_reader& in, std::string const& name,
               intended_state& state);
void read_service(section_reader& in, std::string const& name,
                  intended_state& state);
void read_budget(section_reader& in, std::string const& name,
                 intended_state& state);
void read_window(section_reader& in, std::string const& name,
                 intended_state& state);
void read_wave(section_reader& in, std::string const& name,
               intended_state& state);
void read_team(section_reader& in, std::string const& name,
               intended_state& state);

/// The words as names of one kind.
template <class Name>
std::vector<Name> to_names(std::vector<std::string> const& words)
{
    std::vector<Name> names;
    names.reserve(words.size());
    for (auto const& word : words)
    {
        names.emplace_back(word);
    }
    return names;
}

} // namespace cuminfold::detail

#endif
