#ifndef CUMINFOLD_WIRE_CBOR_CHECK_HPP
#define CUMINFOLD_WIRE_CBOR_CHECK_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace cuminfold
{

/// Maximum nesting of lists and maps in a message.
constexpr std::size_t max_cbor_depth = 64;

/// Whether text is to be UTF-8, or may hold any bytes.
enum class text_check : std::uint8_t
{
    utf8,
    none
};

/// Checks the structure of bytes before they are decoded: decoders recurse for
/// each level, and text that is not UTF-8 can't be written as JSON.
/// @return the first fault of the leading CBOR item; null if there is none.
/// Bytes after it are not looked at.
char const* find_cbor_fault(std::string const& bytes,
                            text_check check = text_check::utf8);

/// Whether the text is UTF-8.
bool is_utf8(char const* begin, char const* end);

} // namespace cuminfold

#endif
