#ifndef CUMINFOLD_CONFIG_UTF8_HPP
#define CUMINFOLD_CONFIG_UTF8_HPP

#include <string>

namespace cuminfold
{

/// Whether all of the text is well-formed UTF-8 without NUL.
bool is_utf8(std::string const& text);

} // namespace cuminfold

#endif
