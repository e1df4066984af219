#include "cli/command_table.hpp"
#include "cli/controller_client.hpp"

namespace cuminfold
{

namespace
{

int run_pools(command_arguments const& arguments)
{
    return show_resource(arguments, "pools",
                         {"pool", "size", "members", "available", "leaving",
                          "need", "reserve", "spares_missing"});
}

constexpr char const* help_text =
    R"(One line a pool: 'size' is what the operators' files ask for, 'members' the
VMs that belong to it, 'available' those of them that serve now, 'leaving'
those in a drain or a move. 'need' is the least that must stay available and
'reserve' what is held back on top of it for a failure. 'spares_missing' are
the VMs that the pool lacks for any drain to be admitted; 0 is fine.
)";

} // namespace

command make_pools_command()
{
    return {"pools", "pools", "Show each pool's members, need and reserve.",
            help_text, &run_pools};
}

} // namespace cuminfold
