// The cases of review/6 to review/10 that are scripts.
//
//   cuminfold-review-2 CASE NODE FOLDER
//
// Exit status 1: the rule was broken; 0: it held; 2: the case couldn't run.
// TROUBLE=0 in the environment leaves the disruption out.
#include "platform.h"

#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>

using namespace review;

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;
constexpr unsigned node_count = 3;
constexpr std::int64_t finish_ms = 14'000;

struct setting
{
    std::string program_;
    std::string folder_;
    bool trouble_ = true;
};

json make_route(std::string const& name, std::string const& prefix,
                std::string const& service)
{
    return {{"name", name},          {"host", "queue.example"},
            {"path_prefix", prefix}, {"kind", "non_idempotent"},
            {"timeout_ms", 3000},    {"slo_ms", 600},
            {"priority", 0},         {"service", service},
            {"max_attempts", 3},     {"stretch_factor", 1.6}};
}

json make_config(int version, json const& routes, std::string const& service)
{
    return {{"version", version},
            {"routes", routes},
            {"services",
             {{{"name", service},
               {"health_path", "/health"},
               {"max_conns", 64},
               {"protocol", "h1"},
               {"tls", false},
               {"enforces_capacity", false},
               {"standby", false}}}},
            {"limits", {{"max_body_bytes", 262144}}}};
}

json make_job(std::string const& spec, json const& step)
{
    return {{"spec", spec}, {"steps", json::array({step})}};
}

void add_machines(platform& on, unsigned count, std::string const& service)
{
    for (unsigned i = 0; i < count; ++i)
    {
        on.add_machine("m-" + std::to_string(100 + i), service,
                       "r1-" + std::to_string(i / 4));
    }
}

/// Waits until a job has one of the final states.
/// @return the last state that was shown
std::string await_end(nodes& system, std::string const& path,
                      std::int64_t limit_ms)
{
    std::string last;
    for (auto const until = now_ms() + limit_ms; now_ms() < until;)
    {
        auto const state = system.state(path);
        if (state != last)
        {
            record("GET " + path + ": " + state);
            last = state;
        }
        if (state == "completed" || state == "failed" || state == "cancelled" ||
            state == "410")
        {
            break;
        }
        sleep_ms(500);
    }
    return last;
}

int require_completed(std::string const& state)
{
    if (state == "completed")
    {
        record("the rule held: the job is completed");
        return held;
    }
    return broken;
}

void log_runs(platform& on)
{
    on.on_end_ = [](minion& at, std::string const& task, std::uint32_t run,
                    std::string const& how)
    {
        record(at.machine_ + " ends " + task + " run " + std::to_string(run) +
               ": " + how);
    };
}

/// Each minion of a work item is cut off for a while, and the owner is killed
/// before the minion answers again. No minion crashes.
int run_cuts(setting const& with)
{
    constexpr unsigned rounds = 5;
    constexpr std::int64_t cut_ms = 5500;
    constexpr std::int64_t down_ms = 1000;
    platform site;
    std::string at_work;
    unsigned starts = 0;
    unsigned failed = 0;
    site.plan_ = [](minion&, std::string const&, std::uint32_t)
    {
        run_plan plan;
        plan.work_ms_ = 15'000;
        return plan;
    };
    site.on_start_ = [&](minion& at, std::string const& task, std::uint32_t run)
    {
        record(at.machine_ + " starts " + task + " run " + std::to_string(run));
        at_work = at.machine_;
        ++starts;
    };
    log_runs(site);
    auto const log_end = site.on_end_;
    site.on_end_ = [&](minion& at, std::string const& task, std::uint32_t run,
                       std::string const& how)
    {
        failed += how == "failed" ? 1 : 0;
        log_end(at, task, run, how);
    };
    site.put_config(make_config(
        1, json::array({make_route("r-sample", "/sample/", "sampling-unit")}),
        "sampling-unit"));
    add_machines(site, 9, "sampling-unit");
    nodes system(with.program_, with.folder_, site.address(), node_count);
    if (!system.wait_ready(20'000))
    {
        return could_not_run;
    }
    std::string const path = "/sample/5c0e7a21d94b36f8";
    if (!system.submit(path, make_job("weighting", {{"count", 1},
                                                    {"cpu", 1900},
                                                    {"mem_mb", 7100},
                                                    {"estimate_ms", 15'000}})))
    {
        return could_not_run;
    }
    std::string state = "running";
    for (unsigned round = 0;
         with.trouble_ && round < rounds && state != "failed"; ++round)
    {
        sleep_ms(800);
        unsigned starts_before = 0;
        auto const until = now_ms() + cut_ms;
        site.run(
            [&]
            {
                starts_before = starts;
                record(at_work + " is cut off from the nodes for 5.5 s");
                site.machines_.at(at_work).minion_->cut_until_ = until;
            });
        unsigned starts_now = starts_before;
        while (now_ms() < until - 200 && starts_now == starts_before)
        {
            sleep_ms(20);
            site.run([&] { starts_now = starts; });
        }
        auto const owner = system.owner();
        record("the owner, node " + std::to_string(owner + 1) +
               ", is killed, and started again after 1 s");
        system.kill(owner, SIGKILL);
        sleep_ms(down_ms);
        system.restart(owner);
        while (now_ms() < until)
        {
            sleep_ms(20);
        }
        bool is_running = false;
        for (auto const limit = now_ms() + 10'000;
             now_ms() < limit && !is_running && state != "failed";
             sleep_ms(100))
        {
            state = system.state(path);
            site.run(
                [&]
                {
                    for (auto const& each : site.machines_)
                    {
                        is_running = is_running ||
                                     !each.second.minion_->running_.empty();
                    }
                });
        }
        record("GET " + path + ": " + state);
    }
    state = await_end(system, path, 30'000);
    unsigned ends = 0;
    site.run([&] { ends = failed; });
    record("runs that ended failed: " + std::to_string(ends) +
           "; max_attempts: 3; crashes of minions: 0; the job is shown as " +
           state);
    return state == "failed" && ends >= 3 ? held : require_completed(state);
}

/// All members of a gang are on one minion, which fails all that it starts.
int run_gang(setting const& with)
{
    constexpr unsigned members = 4;
    platform site;
    std::string grey;
    std::int64_t grey_until = 0;
    std::set<std::uint32_t> failed_runs;
    site.plan_ = [&](minion& at, std::string const&, std::uint32_t)
    {
        if (grey.empty() && with.trouble_)
        {
            grey = at.machine_;
            grey_until = now_ms() + 6000;
            record(grey + " fails all that it starts, for 6 s");
        }
        run_plan plan;
        plan.gang_size_ = members;
        bool const fails = at.machine_ == grey && now_ms() < grey_until;
        plan.work_ms_ = fails ? 300 : 1500;
        plan.end_ = fails ? "failed" : "done";
        return plan;
    };
    site.on_start_ = [](minion& at, std::string const& task, std::uint32_t run)
    {
        record(at.machine_ + " starts " + task + " run " + std::to_string(run));
    };
    log_runs(site);
    auto const log_end = site.on_end_;
    site.on_end_ = [&](minion& at, std::string const& task, std::uint32_t run,
                       std::string const& how)
    {
        if (how == "failed")
        {
            failed_runs.insert(run);
        }
        log_end(at, task, run, how);
    };
    site.put_config(make_config(
        1, json::array({make_route("r-sample", "/sample/", "sampling-unit")}),
        "sampling-unit"));
    add_machines(site, 12, "sampling-unit");
    nodes system(with.program_, with.folder_, site.address(), node_count);
    if (!system.wait_ready(20'000))
    {
        return could_not_run;
    }
    std::string const path = "/sample/5c0e7a21d94b36f8";
    if (!system.submit(path, make_job("gang", {{"count", members},
                                               {"cpu", 1000},
                                               {"mem_mb", 1000},
                                               {"gang", true},
                                               {"estimate_ms", 1500}})))
    {
        return could_not_run;
    }
    auto const state = await_end(system, path, 30'000);
    std::size_t runs = 0;
    site.run([&] { runs = failed_runs.size(); });
    record("runs of the gang that failed: " + std::to_string(runs) +
           "; max_attempts: 3; the job is shown as " + state);
    return state == "failed" && runs >= 3 ? held : require_completed(state);
}

/// The queue of an accepted job, whose starts need a ticket, is removed from
/// the configuration.
int run_removed_queue(setting const& with)
{
    platform site;
    std::int64_t last_run = 0;
    site.plan_ = [](minion&, std::string const&, std::uint32_t)
    {
        run_plan plan;
        plan.work_ms_ = 2000;
        plan.needs_ticket_ = true;
        return plan;
    };
    site.on_start_ = [](minion& at, std::string const& task, std::uint32_t run)
    {
        record(at.machine_ + " starts " + task + " run " + std::to_string(run));
    };
    log_runs(site);
    auto const log_end = site.on_end_;
    site.on_end_ = [&](minion& at, std::string const& task, std::uint32_t run,
                       std::string const& how)
    {
        last_run = now_ms();
        log_end(at, task, run, how);
    };
    auto checked = make_route("r-draw", "/draw/", "sampling-unit");
    checked["recommendation"] = {
        {"decision_ms", 5}, {"per_item_ms", 1}, {"validity_ms", 3000}};
    auto const other = make_route("r-tally", "/tally/", "sampling-unit");
    site.put_config(make_config(1, {checked, other}, "sampling-unit"));
    add_machines(site, 9, "sampling-unit");
    nodes system(with.program_, with.folder_, site.address(), node_count);
    if (!system.wait_ready(20'000))
    {
        return could_not_run;
    }
    std::string const path = "/draw/5c0e7a21d94b36f8";
    json const step = {
        {"count", 4}, {"cpu", 1000}, {"mem_mb", 1000}, {"estimate_ms", 2000}};
    auto second = step;
    second["depends_on"] = {0};
    if (!system.submit(path, {{"spec", "draw"}, {"steps", {step, second}}}))
    {
        return could_not_run;
    }
    sleep_ms(1000);
    if (with.trouble_)
    {
        record("the operator writes version 4, without the queue /draw/");
        site.put_config(make_config(4, json::array({other}), "sampling-unit"));
    }
    if (!with.trouble_)
    {
        return require_completed(await_end(system, path, 30'000));
    }
    // The queue answers no more, so that the minions show how the job goes on.
    sleep_ms(finish_ms + 3000);
    std::int64_t idle = 0;
    unsigned without_ticket = 0;
    unsigned running = 0;
    unsigned done = 0;
    site.run(
        [&]
        {
            idle = now_ms() - last_run;
            without_ticket = site.rejected_["ticket"];
            for (auto const& each : site.machines_)
            {
                running += each.second.minion_->running_.size();
            }
            done = 0;
        });
    record("running: " + std::to_string(running) + "; nothing has run for " +
           std::to_string(idle) +
           " ms; starts rejected for want of a ticket: " +
           std::to_string(without_ticket));
    // The operator brings the queue back, to see the job's state.
    site.put_config(make_config(9, {checked, other}, "sampling-unit"));
    sleep_ms(2500);
    record("with the queue back: GET " + path + ": " + system.state(path));
    return idle >= 3000 && running == 0 && without_ticket > 0 ? broken : held;
}

/// One job of many work items comes, beside ordinary ones. The platform kills a
/// process that exceeds its memory, and starts it again.
int run_memory(setting const& with)
{
    constexpr double memory_limit_mb = 260;
    constexpr std::int64_t traffic_ms = 20'000;
    platform site;
    std::set<std::string> unfinished;
    site.plan_ = [](minion&, std::string const&, std::uint32_t)
    {
        run_plan plan;
        plan.work_ms_ = 640;
        return plan;
    };
    site.put_config(make_config(
        1, json::array({make_route("r-sample", "/sample/", "sampling-unit")}),
        "sampling-unit"));
    add_machines(site, 9, "sampling-unit");
    nodes system(with.program_, with.folder_, site.address(), node_count);
    if (!system.wait_ready(20'000))
    {
        return could_not_run;
    }
    auto const plain = [](unsigned steps)
    {
        json const step = {
            {"count", 6}, {"cpu", 880}, {"mem_mb", 3300}, {"estimate_ms", 640}};
        auto job = make_job("plain", step);
        for (unsigned i = 1; i < steps; ++i)
        {
            auto next = step;
            next["depends_on"] = {i - 1};
            job["steps"].push_back(next);
        }
        return job;
    };
    std::vector<std::string> paths;
    for (unsigned i = 0; i < 3; ++i)
    {
        auto const path = "/sample/5c0e7a21d94b000" + std::to_string(i);
        if (!system.submit(path, plain(4)))
        {
            return could_not_run;
        }
        paths.push_back(path);
    }
    if (with.trouble_)
    {
        json job = {{"spec", "wide"}, {"steps", json::array()}};
        for (unsigned i = 0; i < 20; ++i)
        {
            json step = {{"count", 100'000},
                         {"cpu", 1},
                         {"mem_mb", 1},
                         {"estimate_ms", 100}};
            if (i > 0)
            {
                step["depends_on"] = {i - 1};
            }
            job["steps"].push_back(step);
        }
        record("a job of 20 steps of 100,000 work items, " +
               std::to_string(to_cbor(job).size()) + " bytes");
        if (!system.submit("/sample/1a2e7a21d94b36f8", job))
        {
            record("the job was not accepted");
            return held;
        }
    }
    // The platform watches the memory of the processes all the time.
    std::vector<unsigned> kills(system.count());
    std::vector<double> most(system.count());
    std::atomic<bool> is_over{false};
    std::thread watcher(
        [&]
        {
            constexpr std::int64_t restart_delay_ms = 1000;
            std::vector<std::int64_t> restart_at(system.count(), -1);
            for (; !is_over; sleep_ms(10))
            {
                for (unsigned i = 0; i < system.count(); ++i)
                {
                    if (restart_at[i] >= 0)
                    {
                        if (now_ms() >= restart_at[i])
                        {
                            restart_at[i] = -1;
                            system.restart(i);
                        }
                        continue;
                    }
                    auto const memory = system.memory_mb(i);
                    most[i] = std::max(most[i], memory);
                    if (memory > memory_limit_mb)
                    {
                        record("node " + std::to_string(i + 1) + " holds " +
                               std::to_string(static_cast<int>(memory)) +
                               " MB of 260 and is killed");
                        ++kills[i];
                        system.kill(i, SIGKILL);
                        restart_at[i] = now_ms() + restart_delay_ms;
                    }
                }
            }
        });
    unsigned accepted = 0;
    unsigned refused = 0;
    auto const end = now_ms() + traffic_ms;
    for (unsigned i = 0; now_ms() < end; ++i)
    {
        char id[17];
        std::snprintf(id, sizeof id, "5c0e%012x", i);
        auto const path = std::string("/sample/") + id;
        auto const result = system.call(i % system.count(), "POST", path,
                                        to_cbor(plain(1)), 1000);
        if (result.status_ / 100 == 2)
        {
            ++accepted;
        }
        else
        {
            ++refused;
        }
        sleep_ms(300);
    }
    record("ordinary jobs: " + std::to_string(accepted) + " accepted, " +
           std::to_string(refused) + " not");
    sleep_ms(finish_ms);
    unsigned lost = 0;
    for (auto const& path : paths)
    {
        answer shown;
        for (unsigned i = 0; i < system.count() && shown.status_ != 200; ++i)
        {
            shown = system.call(i, "GET", path, "", 1000);
        }
        auto const state = shown.status_ == 200 ? shown.body_.value("state", "")
                                                : std::to_string(shown.status_);
        record("GET " + path + ": " + state);
        lost += state == "completed" ? 0 : 1;
    }
    is_over = true;
    watcher.join();
    unsigned ends = 0;
    for (unsigned i = 0; i < system.count(); ++i)
    {
        record("node " + std::to_string(i + 1) + ": at most " +
               std::to_string(static_cast<int>(most[i])) + " MB, " +
               std::to_string(kills[i]) + " ends");
        ends += kills[i] >= 3 ? 1 : 0;
    }
    record(std::to_string(lost) +
           " of the 3 jobs that were accepted first are not completed");
    record(std::to_string(ends) +
           " nodes ended three times or more; two break the rule");
    return ends >= 2 ? broken : held;
}

/// Upkeep is ordered for a new machine while the list of machines is not
/// answered.
int run_wave(setting const& with)
{
    platform site;
    site.plan_ = [](minion&, std::string const&, std::uint32_t)
    { return run_plan{}; };
    site.put_config(make_config(
        1, json::array({make_route("r-sample", "/sample/", "sampling-unit")}),
        "sampling-unit"));
    add_machines(site, 9, "sampling-unit");
    nodes system(with.program_, with.folder_, site.address(), node_count);
    if (!system.wait_ready(20'000))
    {
        return could_not_run;
    }
    sleep_ms(3000);
    if (with.trouble_)
    {
        record("the platform does not answer calls about machines, for 5 s");
        site.run([&] { site.machines_silent_ = true; });
    }
    sleep_ms(1000);
    record("machine m-200 is added");
    site.add_machine("m-200", "sampling-unit", "r1-9");
    sleep_ms(2000);
    record("the operator writes wave 1 for m-200");
    site.put_wave(1, {"m-200"}, 20, 1);
    std::string last;
    int result = held;
    for (auto const until = now_ms() + 25'000; now_ms() < until;)
    {
        if (with.trouble_ && site.machines_silent_ && now_ms() > until - 23'000)
        {
            record("the platform answers again");
            site.run([&] { site.machines_silent_ = false; });
        }
        auto const state = site.wave_state(1);
        std::size_t upkeeps = 0;
        site.run([&] { upkeeps = site.machines_.at("m-200").upkeeps_.size(); });
        if (state != last)
        {
            record("status/wave/1: " + state +
                   "; upkeeps of m-200 begun: " + std::to_string(upkeeps));
            last = state;
            result = state == "completed" && upkeeps == 0 ? broken : result;
        }
        if (state == "completed" && result == held)
        {
            break;
        }
        sleep_ms(20);
    }
    std::size_t upkeeps = 0;
    site.run([&] { upkeeps = site.machines_.at("m-200").upkeeps_.size(); });
    record("at the end: status/wave/1: " + last +
           "; upkeeps of m-200 begun: " + std::to_string(upkeeps));
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    std::map<std::string, int (*)(setting const&)> const cases = {
        {"cuts", run_cuts},
        {"gang", run_gang},
        {"memory", run_memory},
        {"removed-queue", run_removed_queue},
        {"wave", run_wave}};
    auto const found = argc == 4 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end())
    {
        std::cerr << "usage: cuminfold-review-2 CASE NODE FOLDER\n";
        return could_not_run;
    }
    auto const* const trouble = std::getenv("TROUBLE");
    setting with{argv[2], argv[3],
                 trouble == nullptr || std::string(trouble) != "0"};
    try
    {
        int const result = found->second(with);
        if (result == could_not_run)
        {
            record("the case couldn't run");
        }
        return result;
    }
    catch (std::exception const& error)
    {
        record(std::string("the case couldn't run: ") + error.what());
        return could_not_run;
    }
}
