// What all cases have: a platform, three nodes, clients, and the time.
#ifndef REVIEW_SCENE_HPP
#define REVIEW_SCENE_HPP

#include "nodes.hpp"

#include <cstdlib>

namespace review
{

inline std::int64_t calendar_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct scene
{
    /// @param slo_ms what a job may take beyond its work to be on time
    scene(std::string const& program, std::string const& folder,
          std::string const& record, int minions, int slo_ms)
        : record_(record), platform_(context_, record_, minions),
          nodes_(program, folder, platform_.port_, record_),
          clients_(platform_, nodes_, record_)
    {
        char const* const trouble = std::getenv("TROUBLE");
        trouble_ = trouble == nullptr || std::string(trouble) != "0";
        record_.write(trouble_ ? "with the disruption"
                               : "without the disruption");
        platform_.put_config(slo_ms);
        nodes_.start("edge-walu-hall-1", "walu-hall");
        nodes_.start("edge-nabua-hall-1", "nabua-hall");
        nodes_.start("edge-lami-hall-1", "lami-hall");
    }

    void run_for(milliseconds time)
    {
        context_.run_for(time);
        check_nodes();
    }
    void run_to(clock_type::time_point time)
    {
        context_.run_until(time);
        check_nodes();
    }

    /// Runs until the condition holds; false if it does not within the time.
    bool run_until(milliseconds time, std::function<bool()> const& condition)
    {
        auto const limit = clock_type::now() + time;
        while (!condition())
        {
            if (clock_type::now() >= limit)
            {
                return false;
            }
            run_for(milliseconds{10});
        }
        return true;
    }

    /// Waits until all nodes report themselves ready.
    bool wait_ready()
    {
        bool const listening = run_until(
            milliseconds{10'000},
            [this]
            {
                return std::all_of(nodes_.nodes_.begin(), nodes_.nodes_.end(),
                                   [this](node& each) {
                                       return each.clients_ != 0 ||
                                              nodes_.read_addresses(each);
                                   });
            });
        auto const ready = std::make_shared<std::map<std::uint16_t, bool>>();
        for (int i = 0; listening && i < 100; ++i)
        {
            for (auto const& each : nodes_.nodes_)
            {
                request message;
                message.version(11);
                message.method(http::verb::get);
                message.target("/api/readiness");
                message.keep_alive(false);
                message.set(http::field::host, "node");
                client_call::start(context_, each.health_, message,
                                   milliseconds{500},
                                   [ready, port = each.health_](
                                       unsigned status, std::string const&)
                                   { (*ready)[port] = status == 200; });
            }
            run_for(milliseconds{100});
            auto const count =
                std::count_if(ready->begin(), ready->end(),
                              [](auto const& item) { return item.second; });
            if (count == static_cast<long>(nodes_.nodes_.size()))
            {
                record_.write("all nodes are ready");
                return true;
            }
        }
        return false;
    }

    void check_nodes()
    {
        for (auto& each : nodes_.nodes_)
        {
            std::string how;
            if (nodes_.has_ended(each, how))
            {
                record_.write(each.name_ + " ended by itself: " + how);
            }
        }
    }

    /// Plain jobs of two steps with six work items each, one each interval.
    void run_traffic(milliseconds time, milliseconds interval)
    {
        auto const end = clock_type::now() + time;
        while (clock_type::now() < end)
        {
            job_plan plan;
            plan.id_ = make_id("5c0e7a21", ++submitted_);
            plan.steps_ = {{6, 640, 880}, {6, 640, 880, false, {0}}};
            clients_.submit(plan);
            run_for(interval);
        }
    }

    /// Reads the states of jobs and waits for the answers.
    void read_all(std::vector<std::string> const& jobs)
    {
        for (auto const& id : jobs)
        {
            clients_.read(id);
        }
        run_for(milliseconds{4000});
    }

    /// The accepted ones of these jobs that were not read as `completed`; each
    /// is written into the record.
    std::vector<std::string> not_completed(std::vector<std::string> const& jobs)
    {
        std::vector<std::string> open;
        std::size_t accepted = 0;
        for (auto const& id : jobs)
        {
            auto const& job = clients_.jobs_[id];
            accepted += job.accepted_ ? 1 : 0;
            if (job.accepted_ && job.state_ != "completed")
            {
                open.push_back(id);
                record_.write("job " + id + ": accepted, state '" + job.state_ +
                              "', work items that run now: " +
                              std::to_string(platform_.running_of(id)));
            }
        }
        record_.write(std::to_string(accepted) + " jobs accepted, " +
                      std::to_string(open.size()) + " of them not completed");
        return open;
    }

    /// Whether the turn of a work item has come that has not ended `done`: all
    /// steps that its own depends on are done. Of jobs that repeat, all times
    /// must be past.
    bool has_due_item(std::string const& job)
    {
        auto const& plan = clients_.jobs_[job].plan_;
        auto const times = std::max<std::uint32_t>(1, plan.repeat_);
        for (std::uint32_t k = 0; k < times; ++k)
        {
            auto const is_done = [&](std::uint32_t step)
            {
                auto const prefix = job + "." + std::to_string(k) + "." +
                                    std::to_string(step) + ".";
                auto const done = platform_.count_done(prefix);
                // One end of a gang's member stands for all of them.
                return done >=
                       (plan.steps_[step].gang_
                            ? 1
                            : static_cast<int>(plan.steps_[step].count_));
            };
            for (std::uint32_t step = 0; step < plan.steps_.size(); ++step)
            {
                auto const& after = plan.steps_[step].after_;
                if (!is_done(step) &&
                    std::all_of(after.begin(), after.end(), is_done))
                {
                    return true;
                }
            }
        }
        return false;
    }

    /// Whether one of these accepted jobs is stuck.
    bool has_stuck(std::vector<std::string> const& jobs)
    {
        auto const due = std::find_if(jobs.begin(), jobs.end(),
                                      [&](std::string const& job)
                                      { return has_due_item(job); });
        return due != jobs.end() && is_stuck(*due);
    }

    /// The check of LOST: the turn of one of the job's work items has come, and
    /// for three seconds it has nothing running, while under half of the
    /// capacity is in use. The minions are alike and the work items need at
    /// most a quarter of one, so that one has room twice over.
    bool is_stuck(std::string const& job)
    {
        if (!has_due_item(job))
        {
            return false;
        }
        auto const limit = clock_type::now() + milliseconds{3000};
        while (clock_type::now() < limit)
        {
            run_for(milliseconds{50});
            if (platform_.running_of(job) != 0 ||
                platform_.used_cpu() * 2 >= platform_.all_cpu())
            {
                return false;
            }
        }
        record_.write("job " + job + ": nothing of it ran for 3 s");
        return true;
    }

    static std::string make_id(char const* prefix, unsigned number)
    {
        char id[32];
        std::snprintf(id, sizeof id, "%s%08x", prefix, number);
        return id;
    }

    asio::io_context context_;
    record_file record_;
    platform platform_;
    node_set nodes_;
    clients clients_;
    bool trouble_ = true;
    unsigned submitted_ = 0;
};

/// Status of a case: the rule held, was broken, or the case could not run.
enum verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

} // namespace review

#endif
