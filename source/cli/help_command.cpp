#include "cli/command_table.hpp"
#include "transport/program.hpp"

#include <iostream>

namespace cuminfold
{

namespace
{

int run_help(command_arguments const& arguments)
{
    if (arguments.positional_.size() != 1)
    {
        throw usage_error("help takes one command");
    }
    command const& entry = find_command(arguments.positional_.front());
    std::cout << "Usage: cuminfold " << entry.usage_ << " [OPTIONS]\n\n"
              << entry.summary_ << "\n\n"
              << entry.help_;
    return exit_fine;
}

constexpr char const* help_text =
    R"(Explains one command. The options are the same for all; see --help.
)";

} // namespace

command make_help_command()
{
    return {"help", "help COMMAND", "Explain a command.", help_text, &run_help};
}

} // namespace cuminfold
