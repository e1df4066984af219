#include "cli/command_table.hpp"
#include "cli/controller_client.hpp"

namespace cuminfold
{

namespace
{

int run_vms(command_arguments const& arguments)
{
    return show_resource(
        arguments, "vms",
        {"vm", "pool", "phase", "down", "data_centre", "rack", "tasks"});
}

constexpr char const* help_text =
    R"(One line a VM. The phase is 'unassigned', 'serving', 'releasing' (it moves to
another pool), 'granted' (it may be drained), 'draining' or 'rebooting'. New
work goes to VMs that are serving or granted and not down. 'tasks' counts the
jobs that run on it. 'cuminfold explain vm ID' says why.
)";

} // namespace

command make_vms_command()
{
    return {"vms", "vms", "Show each VM's pool and phase.", help_text,
            &run_vms};
}

} // namespace cuminfold
