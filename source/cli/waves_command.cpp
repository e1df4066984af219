#include "cli/command_table.hpp"
#include "cli/controller_client.hpp"

namespace cuminfold
{

namespace
{

int run_waves(command_arguments const& arguments)
{
    return show_resource(
        arguments, "waves",
        {"wave", "strategy", "vms", "maintained", "in_drain", "stopped"});
}

constexpr char const* help_text =
    R"(One line a maintenance wave: the VMs that it covers, those that were
maintained, those in a drain now, and why it was stopped. To stop a wave,
remove it from the operators' files.
)";

} // namespace

command make_waves_command()
{
    return {"waves", "waves", "Show the progress of each wave.", help_text,
            &run_waves};
}

} // namespace cuminfold
