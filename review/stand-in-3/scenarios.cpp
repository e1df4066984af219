#include "scenario.hpp"

#include <atomic>

namespace review
{

namespace
{

void sleep_ms(long time)
{
    std::this_thread::sleep_for(milliseconds{time});
}

/// Clients that send at the same time, one thread each.
template <class Function>
void at_once(std::size_t clients, Function function)
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i)
    {
        threads.emplace_back([function, i] { function(i); });
    }
    for (auto& each : threads)
    {
        each.join();
    }
}

} // namespace

verdict crashes_before_start(world& all, bool trouble)
{
    constexpr milliseconds down{3000};
    constexpr int crashes = 3;
    auto& machines = all.users().machines();
    auto const nodes = all.system().nodes().size();
    // The queue works.
    for (int i = 0; i < 8; ++i)
    {
        all.hand_in(i % nodes, "sample",
                    make_job("done 400", {{2, 1900, 7100, 400, ""}}));
    }
    sleep_ms(1000);
    std::string const id = all.next_id();
    auto const lives = [&]
    {
        return all.users().on_thread(
            [&]
            {
                std::set<std::string> ids;
                for (auto const& each : machines)
                {
                    ids.insert(each->id());
                }
                return ids;
            });
    };
    auto const set_fatal = [&](bool fatal)
    {
        all.users().on_thread(
            [&]
            {
                for (auto const& each : machines)
                {
                    each->crash_at_order(fatal ? id : "", down);
                }
                return 0;
            });
    };
    set_fatal(trouble);
    auto const job = all.hand_in(
        1, "sample", make_job("done 1500", {{1, 1900, 7100, 1500, ""}}));
    if (job.answer_.status_ != 200 || job.id_ != id)
    {
        return verdict::not_run;
    }
    auto known = lives();
    int crashed = 0;
    std::string state;
    auto const until = clock_type::now() + milliseconds{60'000};
    auto next_ask = clock_type::now();
    while (clock_type::now() < until)
    {
        auto const now_alive = lives();
        for (auto const& each : now_alive)
        {
            crashed += known.insert(each).second ? 1 : 0;
        }
        auto const is_any_down = all.users().on_thread(
            [&]
            {
                return std::any_of(machines.begin(), machines.end(),
                                   [](auto const& each)
                                   { return !each->up(); });
            });
        // At most one minion is down at a time.
        set_fatal(trouble && crashed < crashes && !is_any_down);
        if (clock_type::now() >= next_ask)
        {
            next_ask = clock_type::now() + milliseconds{500};
            state =
                all.call(crashed % nodes, "GET", *job.route_, job.id_).state();
        }
        if (state == "completed" || state == "failed" || state == "cancelled")
        {
            break;
        }
        sleep_ms(10);
    }
    auto const runs = all.runs_of(job.id_);
    all.record().write("job " + job.id_ + ": shown as '" + state + "', " +
                       std::to_string(runs.size()) + " runs");
    return state == "failed" && runs.empty() ? verdict::broken : verdict::held;
}

verdict silent_connections(world& all, bool trouble)
{
    auto& nodes = all.system().nodes();
    auto const owner = all.system().owner();
    // The clients' zone is one in which the owner isn't.
    std::vector<std::size_t> zone;
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        if (zone.empty() ? nodes[i].zone_ != nodes[owner].zone_
                         : nodes[i].zone_ == nodes[zone[0]].zone_)
        {
            zone.push_back(i);
        }
    }
    all.record().write("owner " + nodes[owner].name_ + ", clients' zone " +
                       nodes[zone[0]].zone_);
    // Some seconds of traffic: six clients at each node of the zone.
    constexpr int clients_per_node = 6;
    std::vector<handed_in> jobs;
    std::mutex mutex;
    for (int round = 0; round < 5; ++round)
    {
        at_once(zone.size() * clients_per_node,
                [&](std::size_t client)
                {
                    auto job = all.hand_in(
                        zone[client % zone.size()], "quota",
                        make_job("done 300", {{1, 880, 3300, 300, ""}}));
                    std::lock_guard<std::mutex> const guard(mutex);
                    jobs.push_back(std::move(job));
                });
        sleep_ms(400);
    }
    auto const traffic_ended = clock_type::now();
    sleep_ms(1000);
    if (trouble)
    {
        auto const silenced = all.users().on_thread(
            [&]
            {
                std::size_t count = 0;
                for (auto const& each : nodes)
                {
                    count += each.proxy_->silence();
                }
                return count;
            });
        all.record().write(std::to_string(silenced) +
                           " connections between nodes go silent");
    }
    std::this_thread::sleep_until(traffic_ended + milliseconds{14'000});
    all.record().write("the traffic ended 14 s ago: jobs are asked for");
    int unanswered = 0;
    int accepted = 0;
    // One client asks for three jobs.
    for (auto const& job : jobs)
    {
        if (job.answer_.status_ != 200 || accepted == 3)
        {
            continue;
        }
        ++accepted;
        auto const result = all.ask(job, zone);
        unanswered += result.status_ != 200 ? 1 : 0;
    }
    all.record().write(std::to_string(unanswered) + " of " +
                       std::to_string(accepted) +
                       " accepted jobs got no answer in five attempts");
    auto const at_owner = all.call(owner, "GET", *jobs[0].route_, jobs[0].id_);
    if (accepted == 0 || at_owner.status_ != 200)
    {
        return verdict::not_run;
    }
    return unanswered > 0 ? verdict::broken : verdict::held;
}

verdict advised_jobs(world& all, bool trouble)
{
    auto const nodes = all.system().nodes().size();
    std::vector<handed_in> jobs;
    // One job a second for 4 s, 2.6 times as many in the burst.
    int const count = trouble ? 10 : 4;
    for (int i = 0; i < count; ++i)
    {
        jobs.push_back(
            all.hand_in(i % nodes, "callback",
                        make_job("done 640", {{1, 880, 3300, 640, ""}})));
        sleep_ms(4000 / count);
    }
    auto const traffic_ended = clock_type::now();
    all.record().write("the traffic ends");
    std::this_thread::sleep_until(traffic_ended + milliseconds{14'000});
    all.record().write("the traffic ended 14 s ago: jobs are asked for");
    auto const use = all.use_of("callback-desk");
    all.record().write("callback-desk: " + std::to_string(use.up_) +
                       " minions up, " + std::to_string(use.busy_) +
                       " of them with work");
    auto const count_stuck = [&]
    {
        int stuck = 0;
        for (std::size_t i = 0; i < jobs.size(); ++i)
        {
            if (jobs[i].answer_.status_ != 200)
            {
                continue;
            }
            auto const state =
                all.call(i % nodes, "GET", *jobs[i].route_, jobs[i].id_)
                    .state();
            bool const is_open = state == "queued" || state == "running";
            stuck +=
                is_open && !all.has_run_within(jobs[i].id_, milliseconds{3000})
                    ? 1
                    : 0;
        }
        return stuck;
    };
    auto const accepted = std::count_if(jobs.begin(), jobs.end(),
                                        [](handed_in const& job)
                                        { return job.answer_.status_ == 200; });
    int const stuck = count_stuck();
    all.record().write(std::to_string(accepted) + " jobs accepted, " +
                       std::to_string(stuck) +
                       " open with nothing running for 3 s");
    if (accepted == 0)
    {
        return verdict::not_run;
    }
    if (stuck > 0)
    {
        // Not judged: how it goes on.
        sleep_ms(30'000);
        all.record().write("30 s later " + std::to_string(count_stuck()) +
                           " of them are open");
    }
    return stuck > 0 && use.busy_ * 2 < use.up_ ? verdict::broken
                                                : verdict::held;
}

verdict wide_jobs(world& all, bool trouble)
{
    constexpr std::size_t memory = 260UL * 1024 * 1024;
    constexpr int width = 30'000;
    auto const begun = clock_type::now();
    auto& nodes = all.system().nodes();
    std::vector<int> ends(nodes.size(), 0);
    std::atomic<bool> watching{true};
    std::thread watch(
        [&]
        {
            while (watching)
            {
                for (auto const each : all.system().enforce_memory(memory))
                {
                    ++ends[each];
                    all.record().write(nodes[each].name_ + " held " +
                                       std::to_string(nodes[each].held_ >> 20) +
                                       " MB and is killed");
                }
                sleep_ms(20);
            }
        });
    std::vector<handed_in> ordinary;
    auto const hand_in_ordinary = [&](int count)
    {
        for (int i = 0; i < count; ++i)
        {
            ordinary.push_back(
                all.hand_in(ordinary.size() % nodes.size(), "sample",
                            make_job("done 2000", {{1, 880, 3300, 2000, ""},
                                                   {1, 880, 3300, 2000, ""}})));
            sleep_ms(200);
        }
    };
    hand_in_ordinary(3);
    // Three clients, each with four jobs one after the other.
    std::atomic<int> wide{0};
    auto const body = make_job("bulk 100", {{width, 1, 1, 100, ""}});
    at_once(
        trouble ? 3 : 0,
        [&](std::size_t client)
        {
            for (std::size_t i = 0; i < 4; ++i)
            {
                auto const first = client + 3 * i;
                auto job = all.hand_in(first % nodes.size(), "quota", body);
                // Four retries, each at the next node.
                for (std::size_t k = 1; k < 5 && job.answer_.status_ != 200 &&
                                        job.answer_.status_ != 429;
                     ++k)
                {
                    sleep_ms(500);
                    job.answer_ = all.call((first + k) % nodes.size(), "POST",
                                           *job.route_, job.id_, body);
                }
                wide += job.answer_.status_ == 200 ? 1 : 0;
                sleep_ms(200);
            }
        });
    all.record().write(std::to_string(wide) + " jobs of " +
                       std::to_string(width) + " work items were accepted");
    hand_in_ordinary(8);
    std::this_thread::sleep_until(begun + milliseconds{82'000});
    watching = false;
    watch.join();
    int often = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i)
    {
        often += ends[i] >= 3 ? 1 : 0;
        all.record().write(nodes[i].name_ + ": ended " +
                           std::to_string(ends[i]) + " times, held " +
                           std::to_string(nodes[i].most_ >> 20) +
                           " MB at most");
    }
    int accepted = 0;
    int completed = 0;
    for (auto const& job : ordinary)
    {
        if (job.answer_.status_ == 200)
        {
            ++accepted;
            completed += all.call(accepted % nodes.size(), "GET", *job.route_,
                                  job.id_, "", 700)
                                     .state() == "completed"
                             ? 1
                             : 0;
        }
    }
    all.record().write(
        std::to_string(accepted) + " of " + std::to_string(ordinary.size()) +
        " ordinary jobs accepted, " + std::to_string(completed) + " completed");
    return often >= 2 ? verdict::broken : verdict::held;
}

} // namespace review
