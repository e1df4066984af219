#include "cli/command_line.hpp"

#include "cli/command_table.hpp"
#include "config/duration_text.hpp"
#include "config/operators_folder.hpp"
#include "config/settings_file.hpp"
#include "transport/program.hpp"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace cuminfold
{

namespace
{

namespace po = boost::program_options;

constexpr char const* version_text = "0.1.0";

/// Width to which each command's usage is padded in the help text.
constexpr std::size_t usage_width = 34;

po::options_description describe_options()
{
    po::options_description options("Options");
    options.add_options()("help,h", "print this text and exit")(
        "version,v", "print the version and exit")(
        "config,c", po::value<std::string>(),
        "settings file (YAML): controller, timeout")(
        "controller,C", po::value<std::string>(),
        "operators' address of a controller, IP:PORT")(
        "output,o", po::value<std::string>()->default_value("text"),
        "text or json")("author,a",
                        po::value<std::string>()->default_value("operator"),
                        "who makes the change")(
        "timeout,t", po::value<std::string>(), "how long to wait, such as 10s")(
        "wait,w", "apply: wait until all nodes have the change")(
        "overwrite", "apply: also change what others have changed")(
        "into", po::value<std::string>()->default_value(""),
        "get: write the files in force into this new folder")(
        "in-force", po::value<std::string>()->default_value(""),
        "check-fleet: list the differences from the configuration in this "
        "file")(
        "largest-task", po::value<std::string>()->default_value(""),
        "check-fleet: CPU,MEM of the largest task, in thousandths of a core "
        "and MB");
    return options;
}

void print_help(po::options_description const& options)
{
    std::cout << "Usage: cuminfold COMMAND [ARGUMENTS] [OPTIONS]\n\n"
                 "Commands:\n";
    for (auto const& entry : command_table())
    {
        std::string usage = entry.usage_;
        usage.resize(std::max(usage.size(), usage_width), ' ');
        std::cout << "  " << usage << "  " << entry.summary_ << "\n";
    }
    std::cout << "\n" << options;
}

void load_settings(std::string const& path, command_arguments& arguments)
{
    read_settings(path,
                  [&](section_reader& in)
                  {
                      in.read("controller", arguments.controller_);
                      in.read("author", arguments.author_);
                      in.read("timeout", arguments.timeout_);
                  });
}

command_arguments collect_arguments(po::variables_map const& given)
{
    command_arguments arguments;
    arguments.timeout_ = std::chrono::seconds{15};
    arguments.author_ = given["author"].as<std::string>();
    if (given.count("config") != 0)
    {
        load_settings(given["config"].as<std::string>(), arguments);
    }
    if (given.count("controller") != 0)
    {
        arguments.controller_ = given["controller"].as<std::string>();
    }
    if (given.count("timeout") != 0)
    {
        auto const text = given["timeout"].as<std::string>();
        auto const value = parse_duration(text);
        if (!value)
        {
            throw usage_error("--timeout: expected a time such as 10s, not '" +
                              text + "'");
        }
        arguments.timeout_ = *value;
    }
    auto const output = given["output"].as<std::string>();
    if (output != "text" && output != "json")
    {
        throw usage_error("--output: expected text or json, not '" + output +
                          "'");
    }
    arguments.json_ = output == "json";
    arguments.wait_ = given.count("wait") != 0;
    arguments.overwrite_ = given.count("overwrite") != 0;
    arguments.into_ = given["into"].as<std::string>();
    arguments.in_force_ = given["in-force"].as<std::string>();
    arguments.largest_task_ = given["largest-task"].as<std::string>();
    arguments.positional_ = given["words"].as<std::vector<std::string>>();
    return arguments;
}

int run_command(command_arguments arguments)
{
    std::string const name = arguments.positional_.front();
    arguments.positional_.erase(arguments.positional_.begin());
    return find_command(name).run_(arguments);
}

int parse_and_run(int argc, char const* const* argv)
{
    auto const visible = describe_options();
    po::options_description all;
    all.add(visible).add_options()("words",
                                   po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map given;
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              given);
    if (given.count("help") != 0)
    {
        print_help(visible);
        return exit_fine;
    }
    if (given.count("version") != 0)
    {
        std::cout << "cuminfold " << version_text << "\n";
        return exit_fine;
    }
    if (given.count("words") == 0)
    {
        throw usage_error("no command");
    }
    return run_command(collect_arguments(given));
}

int report_failure(std::string const& what, int status)
{
    std::cerr << "cuminfold: " << what << "\n";
    return status;
}

} // namespace

int run_command_line(int argc, char const* const* argv)
{
    try
    {
        return parse_and_run(argc, argv);
    }
    catch (settings_error const& error)
    {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
    catch (folder_error const& error)
    {
        return report_failure(error.what(), exit_usage);
    }
    catch (po::error const& error)
    {
        return report_failure(std::string(error.what()) + "; see --help",
                              exit_usage);
    }
    catch (usage_error const& error)
    {
        return report_failure(std::string(error.what()) + "; see --help",
                              exit_usage);
    }
    catch (nlohmann::json::exception const&)
    {
        return report_failure(
            "the controller's answer was not understood; is it of "
            "another version?",
            exit_failed);
    }
    catch (std::exception const& error)
    {
        return report_failure(error.what(), exit_failed);
    }
}

} // namespace cuminfold
