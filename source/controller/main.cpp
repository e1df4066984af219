#include "controller/controller_server.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_server(
        {"cuminfold-controller",
         "Decides about pools, drains, waves and jobs; serves operators.",
         &cuminfold::run_controller},
        argc, argv);
}
