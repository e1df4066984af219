#include "cli/command_table.hpp"

#include "transport/program.hpp"

namespace cuminfold
{

std::vector<command> const& command_table()
{
    static std::vector<command> const table = {
        make_check_command(),  make_check_fleet_command(),
        make_apply_command(),  make_get_command(),
        make_status_command(), make_pools_command(),
        make_vms_command(),    make_waves_command(),
        make_jobs_command(),   make_explain_command(),
        make_help_command()};
    return table;
}

command const& find_command(std::string const& name)
{
    std::string known;
    for (auto const& entry : command_table())
    {
        if (name == entry.name_)
        {
            return entry;
        }
        known += " ";
        known += entry.name_;
    }
    throw usage_error("unknown command '" + name + "'; known:" + known);
}

} // namespace cuminfold
