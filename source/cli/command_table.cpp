#include "cli/command_table.hpp"

#include "cli/apply_command.hpp"
#include "cli/check_command.hpp"
#include "cli/read_commands.hpp"

namespace cuminfold
{

std::vector<command> const& command_table()
{
    static std::vector<command> const table = {
        {"check", "check DIR",
         "Merge and validate a folder of operators' files, offline.",
         &run_check},
        {"apply", "apply DIR [--wait]",
         "Make the folder the intended state: send puts and removals.",
         &run_apply},
        {"get", "get [KEY]",
         "Show what is in force, with the file of each value.", &run_get},
        {"status", "status", "Show the controller's view of the system.",
         &run_status},
        {"pools", "pools", "Show each pool's members, need and reserve.",
         &run_pools},
        {"vms", "vms", "Show each VM's pool and phase.", &run_vms},
        {"waves", "waves", "Show the progress of each wave.", &run_waves},
        {"jobs", "jobs", "Show each job and why it ended.", &run_jobs},
        {"explain", "explain vm ID",
         "Show why a VM is where it is, and what it waits for.", &run_explain},
    };
    return table;
}

} // namespace cuminfold
