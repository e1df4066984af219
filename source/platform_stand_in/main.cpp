#include "platform_stand_in/platform_server.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_server(
        {"cuminfold-platform",
         "Stand-in for the platform: append-only log, list of VMs, reboots.",
         &cuminfold::run_platform},
        argc, argv);
}
