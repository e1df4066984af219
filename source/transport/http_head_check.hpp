#ifndef CUMINFOLD_TRANSPORT_HTTP_HEAD_CHECK_HPP
#define CUMINFOLD_TRANSPORT_HTTP_HEAD_CHECK_HPP

#include <cstddef>
#include <optional>
#include <string_view>

namespace cuminfold
{

/// Finds the end of a request's head: the number of bytes up to and including
/// its empty line. Lines that end in a bare line feed count too, so that such
/// a head is found, and refused, instead of waited for.
std::optional<std::size_t> find_head_end(std::string_view bytes);

/// What is wrong with a head that the library would read, but that two
/// readers may take differently (request smuggling): bare line feeds, folded
/// lines, white space before a colon, lengths that are repeated or contradict
/// the transfer encoding, and fields that must stand once.
/// @return empty if nothing is
std::string_view check_head(std::string_view head);

} // namespace cuminfold

#endif
