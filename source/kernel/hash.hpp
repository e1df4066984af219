#ifndef CUMINFOLD_KERNEL_HASH_HPP
#define CUMINFOLD_KERNEL_HASH_HPP

#include <cstdint>
#include <string_view>

namespace cuminfold
{

/// FNV-1a with a final mix, the same on every machine and in every build.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Weight of a node for a name; the highest weight ranks first.
std::uint64_t rendezvous_weight(std::string_view node, std::string_view name);

} // namespace cuminfold

#endif
