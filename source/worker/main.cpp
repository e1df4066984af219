#include "worker/worker_server.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_server(
        {"cuminfold-worker",
         "Stand-in for worker VMs: runs requests and leased tasks.",
         &cuminfold::run_worker},
        argc, argv);
}
