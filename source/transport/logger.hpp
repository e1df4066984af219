#ifndef CUMINFOLD_TRANSPORT_LOGGER_HPP
#define CUMINFOLD_TRANSPORT_LOGGER_HPP

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cuminfold
{

/// How log lines are written.
enum class log_format
{
    key_value,
    json
};

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// One key and its value.
using log_field = std::pair<std::string_view, std::string>;

/// Sets up the process's log on stderr; called once, first of all.
/// @param program name that stands in each line
void start_log(std::string const& program, log_format format, log_level least);

/// Writes one line: time, level, event and fields.
void write_log(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace cuminfold

#endif
