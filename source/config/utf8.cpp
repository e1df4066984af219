#include "config/utf8.hpp"

#include <cstddef>
#include <cstdint>

namespace cuminfold
{

namespace
{

/// Bytes that follow a first byte; -1: it cannot be a first byte.
int count_following(unsigned char first)
{
    if (first < 0x80U)
    {
        return 0;
    }
    if (first >= 0xc2U && first < 0xe0U)
    {
        return 1;
    }
    if (first >= 0xe0U && first < 0xf0U)
    {
        return 2;
    }
    return first >= 0xf0U && first < 0xf5U ? 3 : -1;
}

/// Whether a code point was written in as few bytes as it needs, and is one.
bool is_scalar_value(std::uint32_t code, int following)
{
    bool const surrogate = code >= 0xd800U && code < 0xe000U;
    bool const overlong = (following == 2 && code < 0x800U) ||
                          (following == 3 && code < 0x10000U);
    return !surrogate && !overlong && code <= 0x10ffffU;
}

} // namespace

bool is_utf8(std::string const& text)
{
    for (std::size_t i = 0; i < text.size();)
    {
        auto const first = static_cast<unsigned char>(text[i++]);
        int const following = count_following(first);
        if (first == 0 || following < 0)
        {
            return false;
        }
        std::uint32_t code =
            following == 0 ? first : first & (0x3fU >> following);
        for (int k = 0; k < following; ++k, ++i)
        {
            if (i == text.size() ||
                (static_cast<unsigned char>(text[i]) & 0xc0U) != 0x80U)
            {
                return false;
            }
            code = (code << 6U) | (static_cast<unsigned char>(text[i]) & 0x3fU);
        }
        if (!is_scalar_value(code, following))
        {
            return false;
        }
    }
    return true;
}

} // namespace cuminfold
