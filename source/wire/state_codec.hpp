#ifndef CUMINFOLD_WIRE_STATE_CODEC_HPP
#define CUMINFOLD_WIRE_STATE_CODEC_HPP

#include "kernel/snapshot/snapshot_codec.hpp"

#include <memory>

namespace cuminfold
{

/// The version of encoded states that this program writes and reads.
inline constexpr std::uint32_t state_version = 1;

/// States of folds as CBOR.
std::shared_ptr<snapshot_codec const> make_state_codec();

} // namespace cuminfold

#endif
