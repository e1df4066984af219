#include "cli/command_table.hpp"
#include "cli/controller_client.hpp"
#include "cli/table_text.hpp"
#include "transport/program.hpp"

#include <iostream>

namespace cuminfold
{

namespace
{

int run_status(command_arguments const& arguments)
{
    reject_positional_arguments(arguments);
    auto const body = read_resource(arguments, "/v1/status");
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
        return exit_fine;
    }
    std::cout << "ready " << body.at("ready").dump() << "\nconfig offset "
              << format_cell(body.at("config_offset")) << "\nfleet offset "
              << format_cell(body.at("fleet_next")) << "\n"
              << format_table({"node", "data_centre", "address"},
                              body.at("gateways"));
    return exit_fine;
}

constexpr char const* help_text =
    R"(Whether the controller knows the state of the fleet, how far it has read the
log, and the gateways that are registered there. A controller that is not ready
proposes nothing; see the run-book 'the log is down' in docs/OPERATIONS.md.
)";

} // namespace

command make_status_command()
{
    return {"status", "status", "Show the controller's view of the system.",
            help_text, &run_status};
}

} // namespace cuminfold
