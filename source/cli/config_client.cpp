#include "cli/config_client.hpp"

#include "cli/controller_client.hpp"

#include <chrono>
#include <iostream>
#include <string>
#include <thread>

namespace cuminfold
{

namespace
{

using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr duration poll_interval = std::chrono::milliseconds{200};

} // namespace

config_files parse_files(json const& config)
{
    config_files files;
    for (auto const& item : config.at("files").items())
    {
        config_file& file = files[file_name{item.key()}];
        file.text_ = item.value().at("text").get<std::string>();
        json const& revision = item.value().at("revision");
        file.revision_ =
            revision.is_null() ? no_offset : revision.get<log_offset>();
    }
    return files;
}

bool wait_for_confirmations(command_arguments const& arguments,
                            log_offset offset)
{
    std::string const path =
        "/v1/confirmations?offset=" + std::to_string(offset);
    auto const deadline = clock::now() + arguments.timeout_;
    while (true)
    {
        json const body = read_resource(arguments, path);
        json const& missing = body.at("missing");
        if (missing.empty())
        {
            std::cout << "confirmed by " << body.at("confirmed").size()
                      << " nodes\n";
            return true;
        }
        if (clock::now() >= deadline)
        {
            for (auto const& node : missing)
            {
                std::cerr << "cuminfold: not confirmed by "
                          << node.get<std::string>() << "\n";
            }
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace cuminfold
