#include "fleet_driver.hpp"

#include "config/merge_files.hpp"
#include "config/operators_folder.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Prints roll-out time, buffer and moves of a full wave of one deployment,
/// for every strategy, with and without a rack that fails in mid-wave.
///   wave_benchmark FOLDER SEEDS VMS...   (of each data centre)

using namespace cuminfold;

namespace
{

constexpr int first_vms_argument = 3;
constexpr std::uint32_t spare_vms = 4;
constexpr duration settle = std::chrono::minutes{2};
constexpr duration wave_limit = std::chrono::hours{4};
constexpr duration rack_fails_after = std::chrono::seconds{150};
constexpr duration rack_removed_after = std::chrono::seconds{400};
constexpr duration rack_replaced_after = std::chrono::seconds{700};
/// Time for the moves that the last event leads to.
constexpr duration last_moves = std::chrono::seconds{120};
/// Seeds that run at once.
constexpr std::uint64_t batch = 4;

struct scenario
{
    char const* name_;
    std::vector<std::uint32_t> vms_;
    bool rack_fails_;
    /// The platform removes the failed VMs and later lists new ones.
    bool rack_replaced_;
};

struct figures
{
    bool done_ = false;
    bool stopped_ = false;
    double minutes_ = 0;
    /// Least capacity over the need during the wave, summed over the pools.
    std::uint32_t buffer_ = 0;
    /// Largest rack's share at the start, summed over the pools.
    std::uint32_t rack_share_ = 0;
    std::uint32_t breaches_ = 0;
    std::uint32_t moves_ = 0;
    std::uint32_t naive_moves_ = 0;
    std::uint32_t reboots_ = 0;
    double records_a_drain_ = 0;
    /// Pools whose capacity never came as low as need and rack share.
    std::uint32_t pools_over_ = 0;
};

/// Fills the pools anew by name whenever the fleet changes, and counts the VMs
/// whose pool changes.
class naive_rebalance
{
public:
    void update(fleet_driver const& driver)
    {
        std::map<vm_id, pool_name> fresh;
        auto pool = driver.intended().pools_.begin();
        std::uint32_t filled = 0;
        for (auto const& item : driver.fleet().vms().all())
        {
            if (item.second.down_)
            {
                continue;
            }
            while (pool != driver.intended().pools_.end() &&
                   filled >= pool->second.size_)
            {
                ++pool;
                filled = 0;
            }
            if (pool != driver.intended().pools_.end())
            {
                fresh[item.first] = pool->first;
                ++filled;
            }
        }
        for (auto const& item : fresh)
        {
            auto const old = assigned_.find(item.first);
            moves_ += old != assigned_.end() && old->second != item.second;
        }
        assigned_ = std::move(fresh);
    }

    std::uint32_t moves() const
    {
        return moves_;
    }

private:
    std::map<vm_id, pool_name> assigned_;
    std::uint32_t moves_ = 0;
};

bool all_serving(fleet_driver const& driver, std::size_t count)
{
    auto const& vms = driver.fleet().vms().all();
    return vms.size() == count &&
           std::all_of(vms.begin(), vms.end(),
                       [](auto const& item)
                       { return item.second.phase_ == vm_phase::serving; });
}

std::uint32_t largest_rack(fleet_driver const& driver, pool_name const& pool)
{
    std::uint32_t most = 0;
    for (auto const& item : driver.fleet().vms().usage(pool).available_by_rack_)
    {
        most = std::max(most, item.second);
    }
    return most;
}

std::string wave_file(intended_state const& intended,
                      std::string const& strategy)
{
    std::string pools;
    for (auto const& item : intended.pools_)
    {
        pools += (pools.empty() ? "" : ", ") + item.first.text();
    }
    return "waves: {w: {pools: [" + pools + "], strategy: " + strategy + "}}\n";
}

/// Follows one wave to its end.
class wave_run
{
public:
    wave_run(scenario const& played, config_files const& files,
             std::uint64_t seed)
        : played_(played),
          driver_(options_of(played, seed), &merge_files, files)
    {
    }

    figures measure(std::string const& strategy)
    {
        std::size_t count = 0;
        for (auto const vms : played_.vms_)
        {
            count += vms;
        }
        driver_.run(settle, [&] { return all_serving(driver_, count); });
        note_start();
        driver_.edit("99-wave.yaml", wave_file(driver_.intended(), strategy));
        start_ = driver_.now();
        auto const entries = driver_.entries();
        figures_.done_ = driver_.run(wave_limit, [&] { return watch(); });
        figures_.stopped_ = !driver_.fleet().data().stopped_waves_.empty();
        std::chrono::duration<double, std::ratio<60>> const took =
            ended_.value_or(driver_.now()) - start_;
        figures_.minutes_ = took.count();
        figures_.breaches_ = driver_.breaches();
        figures_.moves_ = driver_.moves();
        figures_.naive_moves_ = naive_.moves();
        figures_.reboots_ = driver_.reboots();
        figures_.records_a_drain_ =
            static_cast<double>(driver_.entries() - entries) /
            std::max(driver_.reboots(), 1U);
        for (auto const& item : least_)
        {
            figures_.buffer_ += item.second;
            figures_.pools_over_ += item.second > share_[item.first] ? 1 : 0;
        }
        return figures_;
    }

private:
    static driver_options options_of(scenario const& played, std::uint64_t seed)
    {
        driver_options options;
        options.seed_ = seed;
        options.vms_ = played.vms_;
        options.lost_replies_ = 2;
        return options;
    }

    void note_start()
    {
        for (auto const& item : driver_.intended().budgets_)
        {
            share_[item.first] = largest_rack(driver_, item.first);
            figures_.rack_share_ += share_[item.first];
            least_[item.first] = driver_.in_service(item.first);
        }
        naive_.update(driver_);
    }

    bool watch()
    {
        duration const passed = driver_.now() - start_;
        if (played_.rack_fails_ && !failed_ && passed >= rack_fails_after)
        {
            failed_ = true;
            driver_.fail_rack("dc-1", "rack-2");
        }
        if (played_.rack_replaced_ && !removed_ && passed >= rack_removed_after)
        {
            removed_ = true;
            driver_.remove_rack("dc-1", "rack-2");
        }
        if (removed_ && !replaced_ && passed >= rack_replaced_after)
        {
            replaced_ = true;
            list_new_rack();
        }
        bool const ended = driver_.wave_done("w") ||
                           !driver_.fleet().data().stopped_waves_.empty();
        if (!ended_)
        {
            watch_buffer();
            ended_ = ended ? std::make_optional(driver_.now()) : std::nullopt;
        }
        naive_.update(driver_);
        return ended_ && (!played_.rack_replaced_ ||
                          passed >= rack_replaced_after + last_moves);
    }

    void watch_buffer()
    {
        for (auto const& item : driver_.intended().budgets_)
        {
            std::uint32_t const serving = driver_.in_service(item.first);
            std::uint32_t const need = item.second.need_;
            std::uint32_t const over = serving > need ? serving - need : 0;
            least_[item.first] = std::min(least_[item.first], over);
        }
    }

    void list_new_rack()
    {
        for (int i = 0; i < 4; ++i)
        {
            driver_.add_vm("vm-1-new-" + std::to_string(i), "dc-1", "rack-new");
        }
    }

    scenario const& played_;
    fleet_driver driver_;
    naive_rebalance naive_;
    time_point start_{};
    bool failed_ = false;
    bool removed_ = false;
    bool replaced_ = false;
    std::optional<time_point> ended_;
    std::map<pool_name, std::uint32_t> share_;
    std::map<pool_name, std::uint32_t> least_;
    figures figures_;
};

void print_row(scenario const& played, std::string const& strategy,
               std::vector<figures> const& all, double& baseline)
{
    figures sum;
    std::uint32_t done = 0;
    std::uint32_t stopped = 0;
    double longest = 0;
    for (auto const& one : all)
    {
        done += one.done_ && !one.stopped_ ? 1 : 0;
        stopped += one.stopped_ ? 1 : 0;
        sum.minutes_ += one.minutes_;
        longest = std::max(longest, one.minutes_);
        sum.buffer_ += one.buffer_;
        sum.rack_share_ += one.rack_share_;
        sum.breaches_ += one.breaches_;
        sum.moves_ += one.moves_;
        sum.naive_moves_ += one.naive_moves_;
        sum.reboots_ += one.reboots_;
        sum.pools_over_ += one.pools_over_;
        sum.records_a_drain_ += one.records_a_drain_;
    }
    auto const seeds = static_cast<double>(all.size());
    double const mean = sum.minutes_ / seeds;
    baseline = strategy == "one_at_a_time" ? mean : baseline;
    std::printf("| %s | %s | %u/%u/%zu | %.1f | %.1f | %.2f | %.1f | %.1f | "
                "%.2f | %.1f | %.1f | %u | %.1f |\n",
                played.name_, strategy.c_str(), done, stopped, all.size(), mean,
                longest, baseline / mean, sum.buffer_ / seeds,
                sum.rack_share_ / seeds, sum.pools_over_ / seeds,
                sum.moves_ / seeds, sum.naive_moves_ / seeds, sum.breaches_,
                sum.records_a_drain_ / seeds);
    std::fflush(stdout);
}

std::vector<figures> measure_seeds(scenario const& played,
                                   config_files const& files,
                                   std::string const& strategy,
                                   std::uint64_t seeds)
{
    std::vector<figures> all;
    for (std::uint64_t first = 1; first <= seeds; first += batch)
    {
        std::vector<std::future<figures>> running;
        for (std::uint64_t seed = first; seed < first + batch && seed <= seeds;
             ++seed)
        {
            running.push_back(std::async(
                std::launch::async, [&, seed]
                { return wave_run(played, files, seed).measure(strategy); }));
        }
        for (auto& one : running)
        {
            all.push_back(one.get());
        }
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    std::string wanted;
    if (argc > 2 && std::string(argv[1]) == "--scenario")
    {
        wanted = argv[2];
        argc -= 2;
        argv += 2;
    }
    if (argc < first_vms_argument + 1)
    {
        std::fputs("usage: wave_benchmark [--scenario NAME] FOLDER SEEDS "
                   "VMS...\n",
                   stderr);
        return 2;
    }
    config_files const files = read_folder(argv[1]);
    std::uint64_t const seeds = std::strtoull(argv[2], nullptr, 10);
    std::vector<std::uint32_t> vms;
    for (int i = first_vms_argument; i < argc; ++i)
    {
        vms.push_back(
            static_cast<std::uint32_t>(std::strtoul(argv[i], nullptr, 10)));
    }
    auto with_spares = vms;
    with_spares.back() += spare_vms;
    std::vector<scenario> const scenarios = {
        {"no failure", vms, false, false},
        {"rack fails", vms, true, false},
        {"rack replaced, 4 spares", with_spares, true, true}};
    std::puts("| scenario | strategy | done/stopped/runs | minutes | longest | "
              "times one_at_a_time | buffer | rack share | pools over share | "
              "moves | naive moves | breaches | records a drain |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (auto const& played : scenarios)
    {
        if (!wanted.empty() && wanted != played.name_)
        {
            continue;
        }
        double baseline = 0;
        for (char const* strategy : {"one_at_a_time", "fixed_share",
                                     "fewest_moves", "fastest_rollout"})
        {
            auto const all = measure_seeds(played, files, strategy, seeds);
            print_row(played, strategy, all, baseline);
        }
    }
    return 0;
}
