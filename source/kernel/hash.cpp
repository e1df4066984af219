#include "kernel/hash.hpp"

namespace cuminfold
{

namespace
{

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

} // namespace

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t value = fnv_offset ^ mix(seed);
    for (char const c : text)
    {
        value ^= static_cast<unsigned char>(c);
        value *= fnv_prime;
    }
    return mix(value);
}

std::uint64_t rendezvous_weight(std::string_view node, std::string_view name)
{
    return stable_hash(node, stable_hash(name));
}

} // namespace cuminfold
