#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/placement/placement_strategy.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace cuminfold
{

namespace
{

/// Waiting jobs that one placement round examines.
constexpr std::size_t max_jobs_per_round = 256;
/// A job that failed on this many distinct VMs, or on as many as its pool has
/// if that is less, is quarantined.
constexpr std::size_t max_failed_vms = 3;
/// Percent of its declared size that a job is counted with on a shared VM.
constexpr std::uint64_t shared_size_percent = 125;
/// A VM that refused a task is not chosen again for this time.
constexpr duration refusal_backoff = std::chrono::seconds{5};

/// Resources of one VM that its tasks use.
struct vm_load
{
    vm_entry const* vm_ = nullptr;
    std::uint32_t tasks_ = 0;
    std::uint64_t cores_ = 0;
    std::uint64_t memory_mb_ = 0;
    std::uint64_t accelerators_ = 0;
};

bool is_large_enough(vm_shape const& shape, job_request const& job)
{
    return shape.cores_ >= job.cores_ && shape.memory_mb_ >= job.memory_mb_ &&
           shape.accelerators_ >= job.accelerators_ && shape.slots_ > 0;
}

std::uint64_t with_margin(std::uint64_t declared)
{
    return declared * shared_size_percent / 100;
}

/// Returns true if the VM has room for the job. A job that would be alone on
/// its VM needs no margin.
bool fits(vm_load const& load, job_request const& job)
{
    vm_shape const& shape = load.vm_->shape_;
    if (!is_large_enough(shape, job) || load.tasks_ >= shape.slots_)
    {
        return false;
    }
    return load.tasks_ == 0 ||
           (load.cores_ + with_margin(job.cores_) <= shape.cores_ &&
            load.memory_mb_ + with_margin(job.memory_mb_) <= shape.memory_mb_ &&
            load.accelerators_ + job.accelerators_ <= shape.accelerators_);
}

void add_job(vm_load& load, job_request const& job)
{
    ++load.tasks_;
    load.cores_ += with_margin(job.cores_);
    load.memory_mb_ += with_margin(job.memory_mb_);
    load.accelerators_ += job.accelerators_;
}

/// Places the waiting jobs of the local data centre on VMs that they fit on,
/// urgent ones first and each within its team's quota. Closes jobs that can
/// never run and jobs that failed on too many VMs.
class job_placement : public controller_duty
{
public:
    explicit job_placement(controller_settings const& settings)
        : strategy_(registry<placement_strategy>::instance().find(
              settings.placement_)())
    {
    }

    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* result = std::get_if<task_call_result>(&event))
        {
            on_task_call_result(context, *result);
        }
        bool const due = std::holds_alternative<tick>(event) &&
                         context.ready_ && context.rank("jobs") == 0;
        auto const& home = context.settings_.data_centre_;
        if (due && !context.fleet_.jobs().waiting(home).empty())
        {
            run_round(context);
        }
    }

private:
    using pool_loads = std::map<pool_name, std::vector<vm_load>>;

    void on_task_call_result(duty_context& context,
                             task_call_result const& result)
    {
        bool const refused = result.kind_ == task_call_kind::start &&
                             result.replied_ && !result.accepted_;
        if (refused)
        {
            avoid_until_[result.vm_] = context.now_ + refusal_backoff;
        }
    }

    void run_round(duty_context& context)
    {
        pool_loads loads = compute_loads(context);
        placed_in_round_.clear();
        std::size_t examined = 0;
        for (auto const& key :
             context.fleet_.jobs().waiting(context.settings_.data_centre_))
        {
            if (examined++ == max_jobs_per_round)
            {
                return;
            }
            if (!guard_.waits(context.fleet_writer_, key.job_.text()))
            {
                process_job(context, loads,
                            *context.fleet_.jobs().find(key.job_));
            }
        }
    }

    /// Returns the loads of the data centre's VMs by pool.
    static pool_loads compute_loads(duty_context& context)
    {
        pool_loads loads;
        for (auto const& item : context.fleet_.vms().all())
        {
            vm_entry const& vm = item.second;
            if (vm.data_centre_ != context.settings_.data_centre_)
            {
                continue;
            }
            vm_load load;
            load.vm_ = &vm;
            for (auto const& task : vm.tasks_)
            {
                if (auto const* job = context.fleet_.jobs().find(task))
                {
                    add_job(load, job->request_);
                }
            }
            loads[vm.pool_].push_back(load);
        }
        return loads;
    }

    void process_job(duty_context& context, pool_loads& loads,
                     job_entry const& job)
    {
        auto const& services = context.config_.current()->services_;
        auto const service = services.find(job.request_.service_);
        if (service == services.end())
        {
            close_job(context, job, reason::job_infeasible);
            return;
        }
        auto& members = loads[service->second.pool_];
        bool const feasible = std::any_of(
            members.begin(), members.end(),
            [&](auto const& load)
            { return is_large_enough(load.vm_->shape_, job.request_); });
        if (members.empty())
        {
            return;
        }
        if (!feasible)
        {
            close_job(context, job, reason::job_infeasible);
        }
        else if (job.failed_on_.size() >=
                 std::min(max_failed_vms, members.size()))
        {
            close_job(context, job, reason::job_quarantined);
        }
        else if (!within_quota(context, job.request_.team_))
        {
            context.actions_.emplace_back(count_reason{reason::job_team_quota});
        }
        else
        {
            place_job(context, members, job);
        }
    }

    void close_job(duty_context& context, job_entry const& job, reason cause)
    {
        context.actions_.emplace_back(count_reason{cause});
        guard_.proposed(
            job.job_.text(),
            context.propose(job_closed{job.job_, job.generation_, cause}));
    }

    /// Returns true if the team may start another job. A team that has used up
    /// its quota may borrow only while no other team below its quota has jobs
    /// waiting.
    bool within_quota(duty_context& context, team_name const& team)
    {
        auto const& jobs = context.fleet_.jobs();
        auto const& teams = context.config_.current()->teams_;
        auto const found = teams.find(team);
        std::uint32_t const slots =
            jobs.slots_held(team) + placed_in_round_[team];
        if (found != teams.end() && slots < found->second.slots_)
        {
            return true;
        }
        if (found != teams.end() && !found->second.may_borrow_)
        {
            return false;
        }
        std::map<team_name, std::uint32_t> quotas;
        for (auto const& item : teams)
        {
            if (item.first != team)
            {
                quotas[item.first] = item.second.slots_;
            }
        }
        return !jobs.any_team_below_quota(quotas);
    }

    void place_job(duty_context& context, std::vector<vm_load>& members,
                   job_entry const& job)
    {
        std::map<rack_name, std::uint32_t> by_rack;
        for (auto const& load : members)
        {
            by_rack[load.vm_->rack_] += load.tasks_;
        }
        std::vector<placement_candidate> candidates;
        std::vector<vm_load*> candidate_loads;
        for (auto& load : members)
        {
            vm_entry const& vm = *load.vm_;
            bool const available = vm.phase_ == vm_phase::serving && !vm.down_;
            if (available && fits(load, job.request_) &&
                job.failed_on_.count(vm.vm_) == 0 &&
                !is_avoided(context, vm.vm_))
            {
                candidates.push_back({&vm, load.tasks_, by_rack[vm.rack_]});
                candidate_loads.push_back(&load);
            }
        }
        if (candidates.empty())
        {
            return;
        }
        std::size_t const chosen = strategy_->choose(candidates);
        vm_entry const& vm = *candidates[chosen].vm_;
        add_job(*candidate_loads[chosen], job.request_);
        ++placed_in_round_[job.request_.team_];
        guard_.proposed(job.job_.text(),
                        context.propose(job_placed{
                            job.job_, job.generation_, job.attempt_ + 1, vm.vm_,
                            vm.generation_, context.settings_.job_lease_}));
    }

    bool is_avoided(duty_context& context, vm_id const& vm)
    {
        auto const found = avoid_until_.find(vm);
        if (found == avoid_until_.end())
        {
            return false;
        }
        if (context.now_ < found->second)
        {
            return true;
        }
        avoid_until_.erase(found);
        return false;
    }

    std::unique_ptr<placement_strategy> strategy_;
    std::map<vm_id, time_point> avoid_until_;
    /// Jobs of each team that the current round has placed.
    std::map<team_name, std::uint32_t> placed_in_round_;
    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "job_placement", [](controller_settings const& settings)
    { return std::make_unique<job_placement>(settings); }};

} // namespace

} // namespace cuminfold
