#include "cli/command_table.hpp"
#include "cli/controller_client.hpp"

namespace cuminfold
{

namespace
{

int run_jobs(command_arguments const& arguments)
{
    return show_resource(
        arguments, "jobs",
        {"job", "service", "team", "phase", "attempt", "vm", "detail"});
}

constexpr char const* help_text =
    R"(One line a job. It waits, is placed on a VM, and ends as 'finished', 'failed',
'cancelled' or 'unknown'; 'detail' says why. 'unknown' means that a job which
may run once only was lost from sight: look at the worker's own records before
it is submitted again.
)";

} // namespace

command make_jobs_command()
{
    return {"jobs", "jobs", "Show each job and why it ended.", help_text,
            &run_jobs};
}

} // namespace cuminfold
