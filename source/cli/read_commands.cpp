#include "cli/read_commands.hpp"

#include "cli/controller_client.hpp"
#include "config/merge_files.hpp"
#include "transport/program.hpp"

#include <algorithm>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminfold
{

namespace
{

using nlohmann::json;

std::string cell(json const& value)
{
    if (value.is_string())
    {
        return value.get<std::string>();
    }
    return value.is_null() ? "-" : value.dump();
}

/// Prints rows with aligned columns; an empty cell is shown as `-`.
void print_table(std::vector<std::string> const& columns, json const& rows)
{
    std::vector<std::vector<std::string>> lines = {columns};
    for (auto const& row : rows)
    {
        std::vector<std::string> line;
        for (auto const& column : columns)
        {
            std::string const text = cell(row.value(column, json()));
            line.push_back(text.empty() ? "-" : text);
        }
        lines.push_back(std::move(line));
    }
    for (auto const& line : lines)
    {
        std::string text;
        for (std::size_t i = 0; i < columns.size(); ++i)
        {
            std::size_t width = 0;
            for (auto const& other : lines)
            {
                width = std::max(width, other[i].size());
            }
            std::string padded = line[i];
            padded.resize(width, ' ');
            text += padded + (i + 1 == columns.size() ? "" : "  ");
        }
        text.erase(text.find_last_not_of(' ') + 1);
        std::cout << text << "\n";
    }
}

json read(command_arguments const& arguments, std::string const& path)
{
    auto const answer = ask_controller(arguments, "GET", path);
    if (answer.status_ != 200)
    {
        throw std::runtime_error(answer.body_.is_object()
                                     ? answer.body_.value("error", "refused")
                                     : "the controller refused");
    }
    return answer.body_;
}

int show(command_arguments const& arguments, std::string const& name,
         std::vector<std::string> const& columns)
{
    json const body = read(arguments, "/v1/" + name);
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
    }
    else
    {
        print_table(columns, body.at(name));
    }
    return exit_fine;
}

/// Shows the merged values whose key path starts with the asked one.
void print_values(json const& body, std::string const& prefix)
{
    for (auto const& item : body.at("provenance").items())
    {
        if (item.key().rfind(prefix, 0) == 0)
        {
            std::cout << item.key() << "  (" << cell(item.value()) << ")\n";
        }
    }
}

} // namespace

int run_get(command_arguments const& arguments)
{
    json const body = read(arguments, "/v1/config");
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
        return exit_fine;
    }
    std::cout << "offset " << body.at("offset").dump() << "\n";
    print_values(body,
                 arguments.words_.empty() ? "" : arguments.words_.front());
    return exit_fine;
}

int run_status(command_arguments const& arguments)
{
    json const body = read(arguments, "/v1/status");
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
        return exit_fine;
    }
    std::cout << "ready " << body.at("ready").dump() << "\nconfig offset "
              << body.at("config_offset").dump() << "\nfleet offset "
              << body.at("fleet_next").dump() << "\n";
    print_table({"node", "data_centre", "address"}, body.at("gateways"));
    return exit_fine;
}

int run_pools(command_arguments const& arguments)
{
    return show(arguments, "pools",
                {"pool", "size", "members", "available", "leaving", "need",
                 "reserve", "spares_missing"});
}

int run_vms(command_arguments const& arguments)
{
    return show(
        arguments, "vms",
        {"vm", "pool", "phase", "down", "data_centre", "rack", "tasks"});
}

int run_waves(command_arguments const& arguments)
{
    return show(
        arguments, "waves",
        {"wave", "strategy", "vms", "maintained", "in_drain", "stopped"});
}

int run_jobs(command_arguments const& arguments)
{
    return show(arguments, "jobs",
                {"job", "service", "team", "phase", "attempt", "vm", "detail"});
}

int run_explain(command_arguments const& arguments)
{
    bool const good =
        arguments.words_.size() == 2 && arguments.words_[0] == "vm";
    if (!good)
    {
        throw usage_error("explain takes 'vm' and its ID");
    }
    json const body = read(arguments, "/v1/explain/vm/" + arguments.words_[1]);
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
        return exit_fine;
    }
    std::cout << cell(body.at("vm")) << ": pool " << cell(body.at("pool"))
              << ", " << cell(body.at("phase")) << "\n";
    for (auto const& event : body.at("history"))
    {
        std::cout << "  " << event.at("order").dump() << "  "
                  << cell(event.at("what")) << "\n";
    }
    for (auto const& gateway : body.at("waits_for"))
    {
        std::cout << "  waits for gateway " << cell(gateway) << "\n";
    }
    return exit_fine;
}

} // namespace cuminfold
