#include "soak/soak_clients.hpp"
#include "soak/soak_faults.hpp"
#include "soak/soak_keys.hpp"
#include "soak/soak_oracle.hpp"
#include "soak/soak_system.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace cuminfold;
using clock_type = std::chrono::steady_clock;
namespace options = boost::program_options;

namespace
{

constexpr std::chrono::milliseconds tick{5};
/// Once all faults are over, what was accepted ends within this.
constexpr std::chrono::seconds settle_time{60};
/// After the last job's end: runs of cancelled jobs end, leases lapse.
constexpr std::chrono::seconds quiet_time{5};

struct soak_size
{
    std::size_t nodes_ = 3;
    std::uint32_t workers_ = 6;
    std::chrono::seconds time_{10};
    bool restarts_ = true;
    bool unseen_restarts_ = false;
    bool silences_ = false;
    bool workspaces_ = false;
    std::string program_ = CUMINFOLD_NODE;
};

/// One seed; returns the rules that it broke.
std::vector<std::string> play(std::uint32_t seed, soak_size const& size,
                              std::filesystem::path const& folder)
{
    soak_oracle oracle;
    std::string const settings =
        size.workspaces_
            ? "key_revocation_limit: " +
                  std::to_string(soak_system::revocation_limit.count()) + "ms\n"
            : "";
    soak_system system(size.program_, folder, size.nodes_, size.workers_,
                       oracle, settings);
    soak_keys keys(system, oracle, seed + 3, size.workspaces_);
    soak_clients clients(system, oracle, seed, size.restarts_);
    soak_faults faults(system, seed + 1, fault_series::mixed);
    soak_faults restarts(system, seed + 2, fault_series::restarts);
    soak_faults silences(system, seed + 4, fault_series::silences);
    soak_faults unseen(system, seed + 5, fault_series::unseen_restarts);
    auto const step = [&](bool more)
    {
        system.tick();
        keys.tick();
        clients.tick(more, keys.authorization());
        std::this_thread::sleep_for(tick);
    };
    auto const end = clock_type::now() + size.time_;
    while (clock_type::now() < end)
    {
        faults.tick();
        if (size.restarts_)
        {
            restarts.tick();
        }
        if (size.silences_)
        {
            silences.tick();
        }
        if (size.unseen_restarts_)
        {
            unseen.tick();
        }
        step(true);
    }
    system.heal();
    auto const limit = clock_type::now() + settle_time;
    while (clock_type::now() < limit &&
           (clients.open() != 0 || !system.all_run()))
    {
        step(false);
    }
    auto const quiet = clock_type::now() + quiet_time;
    while (clock_type::now() < quiet)
    {
        step(false);
    }
    oracle.judge_end();
    auto breaches = oracle.breaches();
    for (auto const& each : system.breaches())
    {
        breaches.push_back(each);
    }
    std::cout << "seed " << seed << ": " << clients.asked() << " jobs, "
              << clients.accepted() << " accepted, " << clients.rejected()
              << " rejected, " << oracle.starts() << " starts, "
              << faults.history().size() << " faults, "
              << restarts.history().size() + unseen.history().size()
              << " restarts, " << silences.history().size() << " silences, "
              << breaches.size() << " rules broken" << std::endl;
    if (!breaches.empty())
    {
        for (auto const& line : breaches)
        {
            std::cout << "  " << line << '\n';
        }
        for (auto const* const each : {&faults, &restarts, &silences, &unseen})
        {
            for (auto const& line : each->history())
            {
                std::cout << "  at " << line << '\n';
            }
        }
        std::cout << std::flush;
    }
    return breaches;
}

} // namespace

/// Plays seeds of faults against real nodes; exits with 1 if a rule broke.
int main(int argc, char** argv)
{
    std::uint32_t seed = 1;
    std::uint32_t runs = 1;
    std::uint32_t seconds = 10;
    soak_size size;
    options::options_description known("options");
    auto add = known.add_options();
    add("help", "print this");
    add("seed", options::value(&seed), "the first seed");
    add("runs", options::value(&runs), "seeds played, one after the other");
    add("seconds", options::value(&seconds), "time with faults of each");
    add("nodes", options::value(&size.nodes_), "node processes");
    add("program", options::value(&size.program_), "the nodes' program");
    add("workers", options::value(&size.workers_), "workers");
    add("restarts", options::value(&size.restarts_),
        "1: long tasks, and workers that restart under their ids; 0: neither");
    add("unseen-restarts", options::value(&size.unseen_restarts_),
        "1: workers restart under their ids behind a cut, and nothing shows it "
        "until the cut ends; 0: they don't");
    add("silences", options::value(&size.silences_),
        "1: open connections between nodes, to the store and to workers go "
        "silent; 0: they don't");
    add("workspaces", options::value(&size.workspaces_),
        "1: calls need keys, which change all the time; 0: no keys");
    try
    {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.count("help") != 0)
        {
            std::cout << "cuminfold-soak: real nodes under random faults\n"
                      << known;
            return 0;
        }
    }
    catch (options::error const& error)
    {
        std::cerr << "cuminfold-soak: " << error.what()
                  << "; see cuminfold-soak --help\n";
        return 2;
    }
    size.time_ = std::chrono::seconds{seconds};
    std::uint32_t failed = 0;
    for (std::uint32_t i = 0; i < runs; ++i)
    {
        auto const folder = std::filesystem::temp_directory_path() /
                            ("cuminfold-soak." + std::to_string(getpid()) +
                             "." + std::to_string(seed + i));
        std::filesystem::create_directories(folder);
        bool broken = true;
        try
        {
            broken = !play(seed + i, size, folder).empty();
        }
        catch (std::exception const& error)
        {
            std::cout << "seed " << seed + i << ": " << error.what() << '\n';
        }
        failed += broken ? 1 : 0;
        if (broken)
        {
            std::cout << "  logs are kept in " << folder.string() << std::endl;
        }
        else
        {
            std::filesystem::remove_all(folder);
        }
    }
    std::cout << runs << " seeds, " << failed << " with a rule broken\n";
    return failed == 0 ? 0 : 1;
}
