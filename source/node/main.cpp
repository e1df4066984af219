#include "node/node_server.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_server(
        {"cuminfold-node",
         "Takes clients' jobs on an entry VM, and places them where it owns "
         "their cell.",
         cuminfold::run_node, true},
        argc, argv);
}
