#ifndef CUMINFOLD_WIRE_RECORD_CODEC_HPP
#define CUMINFOLD_WIRE_RECORD_CODEC_HPP

#include "kernel/record.hpp"

#include <string>
#include <vector>

namespace cuminfold
{

/// The bytes of one entry of the log: all records of one append.
std::string encode_records(std::vector<record> const& records);

/// The records of an entry. A record of an unknown kind or a newer version
/// becomes an `unknown_body`.
/// @throws decode_error if the entry as a whole is not one of ours
std::vector<record> decode_records(std::string const& bytes);

} // namespace cuminfold

#endif
