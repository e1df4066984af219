#include "config/duration_text.hpp"
#include "config/settings_file.hpp"
#include "load/load_run.hpp"
#include "transport/program.hpp"

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>

namespace
{

namespace po = boost::program_options;
using namespace cuminfold;

/// @throws settings_error if the file is invalid
load_settings read_load_settings(std::string const& path)
{
    load_settings settings;
    settings.length_ = std::chrono::seconds{5};
    settings.deadline_ = std::chrono::milliseconds{500};
    std::uint32_t rate = 100;
    std::uint32_t seed = 1;
    read_settings(path,
                  [&](section_reader& in)
                  {
                      in.require("targets");
                      in.require("services");
                      in.read("targets", settings.targets_);
                      in.read("services", settings.services_);
                      in.read("rate", rate, 1, 200'000);
                      in.read("length", settings.length_,
                              std::chrono::milliseconds{1},
                              std::chrono::hours{1});
                      in.read("deadline", settings.deadline_,
                              std::chrono::milliseconds{1});
                      in.read("non_idempotent_percent",
                              settings.non_idempotent_percent_, 0, 100);
                      in.read("seed", seed);
                  });
    settings.rate_ = rate;
    settings.seed_ = seed;
    return settings;
}

/// Applies the command-line options over the settings file.
/// @throws usage_error if an option or the result is invalid
void override_settings(po::variables_map const& given, load_settings& settings)
{
    if (given.count("rate") != 0)
    {
        settings.rate_ = given["rate"].as<double>();
    }
    if (given.count("length") != 0)
    {
        std::string const text = given["length"].as<std::string>();
        auto const length = parse_duration(text);
        if (!length)
        {
            throw usage_error("--length: '" + text + "' is no time");
        }
        settings.length_ = *length;
    }
    if (given.count("seed") != 0)
    {
        settings.seed_ = given["seed"].as<std::uint64_t>();
    }
    if (given.count("targets") != 0)
    {
        settings.targets_ = given["targets"].as<std::vector<std::string>>();
    }
    if (settings.rate_ <= 0 || settings.length_.count() <= 0)
    {
        throw usage_error("rate and length must be above zero");
    }
}

/// Returns `exit_failed` if any answer did not match its request.
int run(int argc, char const* const* argv)
{
    po::options_description options("Options");
    options.add_options()("help,h", "print this text and exit")(
        "version,v", "print the version and exit")(
        "config,c", po::value<std::string>(), "settings file (YAML)")(
        "rate,r", po::value<double>(), "arrivals a second, instead of rate")(
        "length,n", po::value<std::string>(), "such as 10s, instead of length")(
        "seed,s", po::value<std::uint64_t>(), "instead of seed")(
        "targets,t", po::value<std::vector<std::string>>()->multitoken(),
        "IP:PORT of gateways, instead of targets");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, options), given);
    if (given.count("help") != 0)
    {
        std::cout << "Usage: cuminfold-load --config FILE\n\n"
                     "Sends seeded open-loop load and prints a JSON report.\n\n"
                  << options;
        return exit_fine;
    }
    if (given.count("version") != 0)
    {
        std::cout << "cuminfold-load 0.1.0\n";
        return exit_fine;
    }
    if (given.count("config") == 0)
    {
        throw usage_error("--config FILE is missing");
    }
    load_settings settings =
        read_load_settings(given["config"].as<std::string>());
    override_settings(given, settings);
    load_report const report = run_load(settings);
    std::cout << describe_report(settings, report) << "\n";
    return report.wrong_ == 0 ? exit_fine : exit_failed;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (settings_error const& error)
    {
        std::cerr << error.what() << "\n";
    }
    catch (std::exception const& error)
    {
        std::cerr << "cuminfold-load: " << error.what() << "; see --help\n";
    }
    return exit_usage;
}
