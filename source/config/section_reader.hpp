#ifndef CUMINFOLD_CONFIG_SECTION_READER_HPP
#define CUMINFOLD_CONFIG_SECTION_READER_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// A place in a file.
struct located_place
{
    file_name file_;
    std::uint32_t line_ = 0; ///< counted from 1
};

/// A YAML value and where it stands.
struct located_node
{
    file_name file_;
    std::uint32_t line_ = 0; ///< counted from 1
    YAML::Node node_;
};

/// The keys of one YAML map, each with its own file.
using located_map = std::map<std::string, located_node>;

/// Reads one YAML map key by key and gathers every fault in it.
///
/// A key that is absent leaves the target as it is. `finish()` reports the
/// keys that nobody asked for.
class section_reader
{
public:
    /// @param path key path of the map, for errors; empty: the whole file
    /// @param origin where the map stands, for faults of a map without keys
    section_reader(located_map const& values, std::string path,
                   std::vector<config_error>& errors,
                   located_place origin = {});

    bool has(std::string const& key);

    void read(std::string const& key, std::string& target);
    void read(std::string const& key, bool& target);
    void read(std::string const& key, std::uint32_t& target,
              std::uint32_t least = 0,
              std::uint32_t most = std::numeric_limits<std::uint32_t>::max());
    /// Reads a time with its unit.
    /// Reads a number that need not be whole.
    void read(std::string const& key, double& target, double least,
              double most);
    void read(std::string const& key, duration& target,
              duration least = duration::zero(),
              duration most = duration::max());
    void read(std::string const& key, std::vector<std::string>& target);
    /// Reads a map of names to whole numbers.
    void read(std::string const& key,
              std::map<std::string, std::uint32_t>& target);

    /// Reads a word that must be one of the given ones; `target` becomes its
    /// index.
    void read_choice(std::string const& key,
                     std::vector<std::string> const& choices,
                     std::size_t& target);

    /// The map below a key; empty if it is absent.
    located_map read_map(std::string const& key);

    /// Reports a key that must be there and is not, at the first key's place.
    void require(std::string const& key);

    /// Reports a fault of one key.
    void fail(std::string const& key, std::string what);

    /// Reports keys that are not known.
    void finish();

    std::string path_of(std::string const& key) const;

private:
    located_node const* find(std::string const& key);
    bool scalar(std::string const& key, std::string& text);

    located_map const& values_;
    std::string path_;
    std::vector<config_error>& errors_;
    located_place origin_;
    std::set<std::string> asked_;
};

/// The keys of a YAML map in one file; reports what is not a map and keys
/// that stand twice.
located_map locate(file_name const& file, YAML::Node const& node,
                   std::string const& path, std::vector<config_error>& errors);

/// `FILE:LINE: key: what is wrong`.
std::string format_error(config_error const& error);

} // namespace cuminfold

#endif
