#ifndef CUMINFOLD_TESTS_KERNEL_JOBS_JOB_WORLD_HPP
#define CUMINFOLD_TESTS_KERNEL_JOBS_JOB_WORLD_HPP

#include "config/merge_files.hpp"
#include "kernel/controller/controller_kernel.hpp"
#include "kernel/streams.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cuminfold
{

/// Shares of faults, in percent.
struct job_faults
{
    std::uint32_t lost_append_ = 0;
    std::uint32_t lost_append_reply_ = 0;
    std::uint32_t call_not_sent_ = 0;
    std::uint32_t call_lost_ = 0;
    std::uint32_t call_reply_lost_ = 0;
    std::uint32_t call_late_ = 0;
    std::uint32_t refuse_start_ = 0;
    std::uint32_t fail_task_ = 0;
};

/// Controllers that do not see each other, a log and workers, in memory and on
/// virtual time.
class job_world
{
public:
    static constexpr duration step = std::chrono::milliseconds{50};

    job_world(std::uint64_t seed, std::size_t controllers,
              std::string const& files)
        : random_(seed)
    {
        config_change change;
        change.edits_.push_back({file_name{"a.yaml"}, false, files, no_offset});
        append(config_stream(), change);
        for (std::size_t i = 0; i < controllers; ++i)
        {
            controllers_.push_back(nullptr);
            replace_controller(i);
        }
    }

    void add_vm(std::string const& name, vm_shape shape)
    {
        write(vm_added{vm_id{name}, name, data_centre_name{"dc"},
                       rack_name{"rack-" + name}, shape});
        // A VM's first generation is the count of records up to its own.
        write(vm_assigned{vm_id{name}, written_, pool_name{"a"}, "test"});
        workers_[vm_id{name}];
    }

    void submit(std::string const& name, job_request request)
    {
        request.service_ = service_name{"s"};
        write(job_submitted{job_id{name}, std::move(request),
                            data_centre_name{"dc"}});
    }

    void write(record_body body)
    {
        ++written_;
        append(fleet_stream(), std::move(body));
    }

    /// Kills a controller and starts a new incarnation in its place.
    void replace_controller(std::size_t index)
    {
        controller_settings settings;
        settings.self_ =
            incarnation{node_id{"c" + std::to_string(index)}, ++incarnations_};
        settings.data_centre_ = data_centre_name{"dc"};
        settings.job_lease_ = std::chrono::seconds{2};
        settings.seed_ = incarnations_;
        controllers_[index] = std::make_unique<controller_kernel>(
            settings, &merge_files,
            std::vector<std::string>{"job_placement", "job_attempts"});
        pending_.erase(index);
    }

    /// A controller hears nothing in a step and loses no event.
    void advance(std::size_t paused = ~std::size_t{0})
    {
        now_ += step;
        run_workers();
        for (std::size_t i = 0; i < controllers_.size(); ++i)
        {
            if (i == paused)
            {
                continue;
            }
            std::deque<controller_event> events;
            std::swap(events, pending_[i]);
            events.push_back(tick{wall_time{}});
            for (auto const& event : events)
            {
                perform(i, controllers_[i]->handle(now_, event));
            }
        }
    }

    /// The VM crashes and comes back empty.
    void crash(std::string const& vm)
    {
        workers_[vm_id{vm}].tasks_.clear();
        ++workers_[vm_id{vm}].boot_;
    }

    fleet_state const& fleet() const
    {
        return controllers_.front()->fleet();
    }
    job_entry const& job(std::string const& name) const
    {
        return *fleet().jobs().find(job_id{name});
    }
    std::uint32_t runs(std::string const& job) const
    {
        auto const found = runs_.find(job_id{job});
        return found == runs_.end() ? 0 : found->second;
    }
    bool chance(std::uint32_t percent)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, 99)(random_) <
               percent;
    }

    job_faults faults_;

private:
    struct task
    {
        std::string state_ = "running";
        time_point ends_{};
        time_point lapses_{};
    };
    struct worker
    {
        std::uint64_t boot_ = 1;
        std::map<std::pair<job_id, std::uint32_t>, task> tasks_;
    };

    void append(stream_name const& stream, record_body body)
    {
        record item{{incarnation{node_id{"test"}, 1}, ++sequence_},
                    record_version,
                    no_offset,
                    std::move(body)};
        if (stream == fleet_stream())
        {
            item.config_offset_ = 0;
        }
        auto& entries = streams_[stream];
        entries.push_back({entries.size(), {std::move(item)}});
    }

    void run_workers()
    {
        for (auto& item : workers_)
        {
            for (auto& held : item.second.tasks_)
            {
                task& what = held.second;
                if (what.state_ != "running")
                {
                    continue;
                }
                if (what.lapses_ <= now_)
                {
                    what.state_ = "lapsed";
                }
                else if (what.ends_ <= now_)
                {
                    what.state_ =
                        chance(faults_.fail_task_) ? "failed" : "finished";
                }
            }
        }
        for (auto const& late : std::exchange(late_calls_, {}))
        {
            do_call(late);
        }
    }

    void perform(std::size_t index, std::vector<controller_action> actions)
    {
        for (auto const& action : actions)
        {
            std::visit([&](auto const& what) { act(index, what); }, action);
        }
    }

    template <class Other>
    void act(std::size_t, Other const&)
    {
    }

    void act(std::size_t index, log_read const& read)
    {
        log_read_result result;
        result.stream_ = read.stream_;
        result.from_ = read.from_;
        result.status_ = log_read_status::ok;
        auto const& entries = streams_[read.stream_];
        for (log_offset i = read.from_; i < entries.size(); ++i)
        {
            result.entries_.push_back(entries[i]);
        }
        result.end_ = entries.size();
        pending_[index].push_back(std::move(result));
    }

    void act(std::size_t index, log_append const& append)
    {
        log_append_result result;
        result.stream_ = append.stream_;
        result.ticket_ = append.ticket_;
        if (!chance(faults_.lost_append_))
        {
            auto& entries = streams_[append.stream_];
            entries.push_back({entries.size(), append.records_});
            if (!chance(faults_.lost_append_reply_))
            {
                result.status_ = log_append_status::appended;
            }
        }
        pending_[index].push_back(result);
    }

    void act(std::size_t index, probe_vm const& probe)
    {
        worker const& asked = workers_[probe.vm_];
        probe_result result;
        result.vm_ = probe.vm_;
        result.answered_ = !chance(faults_.call_reply_lost_);
        result.healthy_ = true;
        result.boot_ = asked.boot_;
        for (auto const& item : asked.tasks_)
        {
            std::string const& state = item.second.state_;
            task_report report;
            report.job_ = item.first.first;
            report.attempt_ = item.first.second;
            report.running_ = state == "running";
            report.finished_ = state == "finished";
            report.failed_ = state == "failed" || state == "lapsed";
            report.stopped_ = state == "stopped";
            report.detail_ = state;
            result.tasks_.push_back(report);
        }
        pending_[index].push_back(std::move(result));
    }

    void act(std::size_t index, call_task const& call)
    {
        task_call_result result;
        result.vm_ = call.vm_;
        result.kind_ = call.kind_;
        result.job_ = call.job_;
        result.attempt_ = call.attempt_;
        if (chance(faults_.call_not_sent_))
        {
            result.not_sent_ = true;
        }
        else if (chance(faults_.call_late_))
        {
            late_calls_.push_back(call);
        }
        else if (!chance(faults_.call_lost_))
        {
            bool const accepted = do_call(call);
            result.replied_ = !chance(faults_.call_reply_lost_);
            result.accepted_ = accepted && result.replied_;
            result.not_started_ = !accepted && result.replied_ &&
                                  call.kind_ == task_call_kind::start;
        }
        pending_[index].push_back(std::move(result));
    }

    bool do_call(call_task const& call)
    {
        auto& tasks = workers_[call.vm_].tasks_;
        auto const key = std::make_pair(call.job_, call.attempt_);
        auto const found = tasks.find(key);
        if (call.kind_ == task_call_kind::start)
        {
            if (found != tasks.end())
            {
                return true;
            }
            if (chance(faults_.refuse_start_))
            {
                return false;
            }
            ++runs_[call.job_];
            tasks[key] = {"running", now_ + call.declared_run_time_,
                          now_ + call.lease_};
            return true;
        }
        if (found == tasks.end() || found->second.state_ != "running")
        {
            return false;
        }
        if (call.kind_ == task_call_kind::renew)
        {
            found->second.lapses_ = now_ + call.lease_;
        }
        else
        {
            found->second.state_ = "stopped";
        }
        return true;
    }

    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t sequence_ = 0;
    std::uint64_t written_ = 0;
    std::uint64_t incarnations_ = 0;
    std::vector<std::unique_ptr<controller_kernel>> controllers_;
    std::map<std::size_t, std::deque<controller_event>> pending_;
    std::map<stream_name, std::vector<log_entry>> streams_;
    std::map<vm_id, worker> workers_;
    std::map<job_id, std::uint32_t> runs_;
    std::vector<call_task> late_calls_;
};

} // namespace cuminfold

#endif
