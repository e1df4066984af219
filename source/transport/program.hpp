#ifndef CUMINFOLD_TRANSPORT_PROGRAM_HPP
#define CUMINFOLD_TRANSPORT_PROGRAM_HPP

#include "config/section_reader.hpp"
#include "transport/logger.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace cuminfold
{

/// Exit statuses of all programs.
inline constexpr int exit_fine = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

/// A wrong command line; the text says what is wrong and what to do.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What every server program takes on its command line.
struct server_arguments
{
    std::string config_;
    /// Empty: the settings say.
    std::string listen_;
};

/// One server program, for its thin main.
struct server_program
{
    char const* name_;
    char const* purpose_;
    /// Runs until it is asked to stop; returns the exit status.
    std::function<int(server_arguments const&)> run_;
    /// The program takes its signals itself; otherwise they are blocked for
    /// `wait_for_stop_signal()`.
    bool takes_signals_ = false;
};

/// Reads the command line, answers `--help` and `--version`, runs the program
/// and turns exceptions into an exit status and a line on stderr.
int run_server(server_program const& program, int argc,
               char const* const* argv);

/// Prints the line that says that a server is ready.
void announce(std::string const& address);

/// Settings of the log, the same in each program: `log_format` and
/// `log_level`.
struct log_settings
{
    log_format format_ = log_format::key_value;
    log_level level_ = log_level::info;
};

void read_log_settings(section_reader& in, log_settings& settings);

/// A number that no other life of this process's name uses.
std::uint64_t draw_incarnation();

} // namespace cuminfold

#endif
