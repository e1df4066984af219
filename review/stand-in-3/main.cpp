#include "scenario.hpp"

#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>

using namespace review;

namespace
{

struct scenario
{
    char const* name_;
    verdict (*play_)(world&, bool);
    bool with_proxies_;
    bool with_advice_;
};

constexpr scenario scenarios[] = {
    {"crashes-before-start", crashes_before_start, false, false},
    {"silent-connections", silent_connections, true, false},
    {"wide-jobs", wide_jobs, false, false},
    {"advised-jobs", advised_jobs, false, true},
};

} // namespace

/// Plays one scenario: SCENARIO RECORD FOLDER PROGRAM. Exit status 0: the rule
/// held, 1: it was broken, 2: the scenario could not run. With TROUBLE=0 in the
/// environment it is played without the disruption.
int main(int argc, char** argv)
{
    if (argc != 5)
    {
        std::cerr << "usage: stand-in SCENARIO RECORD FOLDER PROGRAM\n";
        return 2;
    }
    char const* const setting = std::getenv("TROUBLE");
    bool const trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    for (auto const& each : scenarios)
    {
        if (std::strcmp(each.name_, argv[1]) != 0)
        {
            continue;
        }
        record_file record(argv[2]);
        record.write(std::string("scenario ") + each.name_ +
                     (trouble ? "" : ", without the disruption"));
        auto result = verdict::not_run;
        try
        {
            world all(record, argv[3], argv[4], each.with_proxies_,
                      each.with_advice_);
            if (all.await_ready())
            {
                result = each.play_(all, trouble);
            }
        }
        catch (std::exception const& error)
        {
            record.write(std::string("error: ") + error.what());
            result = verdict::not_run;
        }
        char const* const names[] = {"the rule held", "the rule was broken",
                                     "the scenario could not run"};
        record.write(names[static_cast<int>(result)]);
        std::cout << each.name_ << ": " << names[static_cast<int>(result)]
                  << '\n';
        return static_cast<int>(result);
    }
    std::cerr << "no such scenario\n";
    return 2;
}
