#ifndef CUMINFOLD_WIRE_MESSAGE_CODEC_HPP
#define CUMINFOLD_WIRE_MESSAGE_CODEC_HPP

#include "kernel/message.hpp"

#include <cstddef>
#include <string>

namespace cuminfold
{

/// Bytes of one message at most.
inline constexpr std::size_t message_size_limit = 4 * 1024 * 1024;

/// The bytes of one frame.
std::string encode_message(message const& value);

/// @throws decode_error if the frame is not a message of this version
message decode_message(std::string const& bytes);

} // namespace cuminfold

#endif
