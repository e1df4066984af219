#include "gateway/gateway_server.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_server(
        {"cuminfold-gateway",
         "Takes callers' requests: admission, routing, limits, retries.",
         &cuminfold::run_gateway},
        argc, argv);
}
