#ifndef CUMINFOLD_KERNEL_STREAMS_HPP
#define CUMINFOLD_KERNEL_STREAMS_HPP

#include "kernel/identifier.hpp"

#include <cstdint>

namespace cuminfold
{

/// The streams of the platform's log that the system uses.

/// Operators' files.
stream_name const& config_stream();
/// The system's decisions.
stream_name const& fleet_stream();
/// Claims of one shard.
stream_name claims_stream(std::uint32_t shard);
/// Snapshots of a stream.
stream_name snapshot_stream(stream_name const& stream);

/// Shard of a key, the same for every process.
std::uint32_t claim_shard(claim_key const& key, std::uint32_t shards);

} // namespace cuminfold

#endif
