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

/// Where a process's log goes.
enum class log_target
{
    standard_error,
    /// A line is dropped and counted if it cannot be written at once.
    standard_output
};

/// Sets up the process's log; called once, first of all.
/// @param program name that stands in each line
void start_log(std::string const& program, log_format format, log_level least,
               log_target target = log_target::standard_error);

/// Lines that were dropped since their reader was too slow.
unsigned long dropped_log_lines();

/// Writes one line: time, level, event and fields.
void write_log(log_level level, std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace cuminfold

#endif
