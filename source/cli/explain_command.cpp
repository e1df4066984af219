#include "cli/command_table.hpp"
#include "cli/controller_client.hpp"
#include "cli/table_text.hpp"
#include "transport/program.hpp"

#include <iostream>

namespace cuminfold
{

namespace
{

void print_explanation(nlohmann::json const& body)
{
    std::cout << format_cell(body.at("vm")) << ": pool "
              << format_cell(body.at("pool")) << ", "
              << format_cell(body.at("phase")) << "\n";
    for (auto const& event : body.at("history"))
    {
        std::cout << "  " << event.at("order").dump() << "  "
                  << format_cell(event.at("what")) << "\n";
    }
    for (auto const& gateway : body.at("waits_for"))
    {
        std::cout << "  waits for gateway " << format_cell(gateway) << "\n";
    }
}

int run_explain(command_arguments const& arguments)
{
    auto const& words = arguments.positional_;
    if (words.size() != 2 || words[0] != "vm")
    {
        throw usage_error("explain takes 'vm' and its ID");
    }
    auto const body = read_resource(arguments, "/v1/explain/vm/" + words[1]);
    if (arguments.json_)
    {
        std::cout << body.dump(2) << "\n";
    }
    else
    {
        print_explanation(body);
    }
    return exit_fine;
}

constexpr char const* help_text =
    R"(The VM's pool and phase, the last things that were decided about it and why,
and the gateways whose acknowledgement a move or a drain still waits for. The
number before each line counts the records of the fleet's log.
)";

} // namespace

command make_explain_command()
{
    return {"explain", "explain vm ID",
            "Show why a VM is where it is, and what it waits for.", help_text,
            &run_explain};
}

} // namespace cuminfold
