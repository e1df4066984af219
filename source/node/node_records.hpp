#ifndef CUMINFOLD_NODE_NODE_RECORDS_HPP
#define CUMINFOLD_NODE_NODE_RECORDS_HPP

#include "transport/logger.hpp"
#include "wire/decode_error.hpp"

#include <optional>
#include <string>

namespace cuminfold
{

/// Keys in the owner's partition: the owner record, and a record for each node
/// under the prefix and its name.
constexpr char const* owner_key = "owner";
constexpr char const* node_prefix = "node/";

/// Decodes a record; none if the bytes are malformed, which is logged as a
/// warning.
/// @param event name of the log event
template <class Record>
std::optional<Record> try_decode(std::string const& bytes,
                                 Record (*read)(std::string const&),
                                 char const* event)
{
    try
    {
        return read(bytes);
    }
    catch (decode_error const& error)
    {
        write_log(log_level::warning, event, {{"error", error.what()}});
        return std::nullopt;
    }
}

} // namespace cuminfold

#endif
