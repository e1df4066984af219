#include "node/node_server.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_server(
        {"cuminfold-node",
         "Accepts client requests on an entry VM, and schedules the jobs of a "
         "cell while it owns the cell.",
         cuminfold::run_node, true},
        argc, argv);
}
