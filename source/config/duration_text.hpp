#ifndef CUMINFOLD_CONFIG_DURATION_TEXT_HPP
#define CUMINFOLD_CONFIG_DURATION_TEXT_HPP

#include "kernel/time.hpp"

#include <optional>
#include <string>

namespace cuminfold
{

/// Reads a whole number with its unit: `250ms`, `5s`, `10min`, `2h`, `80us`.
/// Empty if the text is anything else or does not fit.
std::optional<duration> parse_duration(std::string const& text);

/// Writes a duration in the largest unit that gives a whole number.
std::string format_duration(duration value);

} // namespace cuminfold

#endif
