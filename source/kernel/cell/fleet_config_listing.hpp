#ifndef CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_LISTING_HPP
#define CUMINFOLD_KERNEL_CELL_FLEET_CONFIG_LISTING_HPP

#include "kernel/cell/fleet_config.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminfold
{

/// A part of the operators' configuration.
enum class config_part : std::uint8_t
{
    version,
    routes,
    pools,
    workspaces,
    body_limit,
};

/// Where something is in the operators' configuration.
struct config_place
{
    config_part part_ = config_part::version;
    /// Position in the part's list, counted from 0.
    std::optional<std::size_t> entry_;
    /// Position in the entry's list of keys, counted from 0.
    std::optional<std::size_t> key_;
};

/// An entry that cannot be read and is left out.
struct skipped_entry
{
    config_place place_;
    std::string fault_;
    std::string remedy_;
};

/// A pool's entry; a later entry of the same name replaces an earlier one.
struct listed_pool
{
    pool_name name_;
    std::size_t entry_ = 0;
};

/// A workspace's entry, with the digests of its keys in the order of the text.
struct listed_workspace
{
    workspace_name name_;
    std::size_t entry_ = 0;
    std::vector<key_digest> keys_;
};

/// A configuration with the places of its entries, for reports to operators.
struct fleet_config_listing
{
    fleet_config config_;
    /// Positions of `config_.routes_`, in the same order.
    std::vector<std::size_t> route_entries_;
    std::vector<listed_pool> pools_;
    std::vector<listed_workspace> workspaces_;
    std::vector<skipped_entry> skipped_;
    /// Lines of each part's entries, counted from 1; of one entry if the part
    /// is no list. Empty if the configuration was not read from a text.
    std::map<config_part, std::vector<std::uint32_t>> lines_;

    /// The line of a place, or of the entry that it is in; 0: unknown.
    std::uint32_t line_of(config_place const& place) const
    {
        auto const lines = lines_.find(place.part_);
        auto const entry = place.entry_.value_or(0);
        return lines == lines_.end() || entry >= lines->second.size()
                   ? 0
                   : lines->second[entry];
    }
};

} // namespace cuminfold

#endif
