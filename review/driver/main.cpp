// Plays the scripted cases of `review/`: DRIVER CASE NODE-PROGRAM FOLDER
// RECORD. Exit status 0: the rule held, 1: it was broken, 2: the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
#include "cases.hpp"

#include <iostream>

namespace review
{

namespace
{

struct case_entry
{
    char const* name_;
    int minions_;
    int slo_ms_;
    verdict (*play_)(scene&);
};

constexpr case_entry cases[] = {
    {"wide", 10, 60'000, play_wide},
    {"many-times", 12, 600, play_many_times},
    {"hopeless", 12, 600, play_hopeless},
    {"gang", 10, 600, play_gang},
    {"reserved", 8, 600, play_reserved},
};

int play(case_entry const& chosen, char** argv)
{
    scene made(argv[2], argv[3], argv[4], chosen.minions_, chosen.slo_ms_);
    verdict const result = made.wait_ready() ? chosen.play_(made) : not_run;
    made.record_.write(result == held     ? "the rule held"
                       : result == broken ? "the rule was broken"
                                          : "the case could not run");
    return result;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    using namespace review;
    if (argc != 5)
    {
        std::cerr << "usage: driver CASE NODE-PROGRAM FOLDER RECORD\n";
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        for (auto const& each : cases)
        {
            if (std::string(argv[1]) == each.name_)
            {
                return play(each, argv);
            }
        }
        std::cerr << "driver: no case " << argv[1] << '\n';
    }
    catch (std::exception const& error)
    {
        std::cerr << "driver: " << error.what() << '\n';
    }
    return not_run;
}
