#include "cli/command_line.hpp"

int main(int argc, char** argv)
{
    return cuminfold::run_command_line(argc, argv);
}
