#include "kernel/streams.hpp"

#include "kernel/hash.hpp"

#include <string>

namespace cuminfold
{

stream_name const& config_stream()
{
    static stream_name const name{"config"};
    return name;
}

stream_name const& fleet_stream()
{
    static stream_name const name{"fleet"};
    return name;
}

stream_name claims_stream(std::uint32_t shard)
{
    return stream_name{"claims-" + std::to_string(shard)};
}

stream_name snapshot_stream(stream_name const& stream)
{
    return stream_name{stream.text() + "-snapshots"};
}

std::uint32_t claim_shard(claim_key const& key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(stable_hash(key.text()) % shards);
}

} // namespace cuminfold
