#include "transport/program.hpp"

#include "config/settings_file.hpp"
#include "transport/signals.hpp"

#include <boost/program_options.hpp>

#include <chrono>
#include <exception>
#include <iostream>
#include <random>

namespace cuminfold
{

namespace
{

namespace po = boost::program_options;

constexpr char const* version_text = "0.1.0";

po::options_description describe_options()
{
    po::options_description options("Options");
    options.add_options()("help,h", "print this text and exit")(
        "version,v", "print the version and exit")(
        "config,c", po::value<std::string>(), "settings file (YAML)")(
        "listen,l", po::value<std::string>(),
        "IP:PORT to listen on; port 0 takes a free one");
    return options;
}

int run_parsed(server_program const& program, po::variables_map const& given)
{
    if (given.count("config") == 0)
    {
        throw usage_error("--config FILE is missing");
    }
    server_arguments arguments;
    arguments.config_ = given["config"].as<std::string>();
    if (given.count("listen") != 0)
    {
        arguments.listen_ = given["listen"].as<std::string>();
    }
    if (!program.takes_signals_)
    {
        block_stop_signals();
    }
    return program.run_(arguments);
}

int fail(server_program const& program, std::string const& what, int status)
{
    std::cerr << program.name_ << ": " << what << "\n";
    return status;
}

} // namespace

int run_server(server_program const& program, int argc, char const* const* argv)
{
    auto const options = describe_options();
    try
    {
        po::variables_map given;
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional(po::positional_options_description())
                      .run(),
                  given);
        po::notify(given);
        if (given.count("help") != 0)
        {
            std::cout << "Usage: " << program.name_
                      << " --config FILE [--listen IP:PORT]\n\n"
                      << program.purpose_ << "\n\n"
                      << options;
            return exit_fine;
        }
        if (given.count("version") != 0)
        {
            std::cout << program.name_ << " " << version_text << "\n";
            return exit_fine;
        }
        return run_parsed(program, given);
    }
    catch (settings_error const& error)
    {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
    catch (po::error const& error)
    {
        return fail(program, std::string(error.what()) + "; see --help",
                    exit_usage);
    }
    catch (usage_error const& error)
    {
        return fail(program, std::string(error.what()) + "; see --help",
                    exit_usage);
    }
    catch (std::exception const& error)
    {
        return fail(program, error.what(), exit_failed);
    }
}

void announce(std::string const& address)
{
    std::cout << "listening " << address << std::endl;
}

void read_log_settings(section_reader& in, log_settings& settings)
{
    auto format = static_cast<std::size_t>(settings.format_);
    auto level = static_cast<std::size_t>(settings.level_);
    in.read_choice("log_format", {"key_value", "json"}, format);
    in.read_choice("log_level", {"debug", "info", "warning", "error"}, level);
    settings.format_ = static_cast<log_format>(format);
    settings.level_ = static_cast<log_level>(level);
}

std::uint64_t draw_incarnation()
{
    constexpr int random_bits = 16;
    auto const wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::random_device device;
    return (static_cast<std::uint64_t>(wall.count()) << random_bits) |
           (device() & 0xffffU);
}

} // namespace cuminfold
