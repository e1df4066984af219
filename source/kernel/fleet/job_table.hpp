#ifndef CUMINFOLD_KERNEL_FLEET_JOB_TABLE_HPP
#define CUMINFOLD_KERNEL_FLEET_JOB_TABLE_HPP

#include "kernel/identifier.hpp"
#include "kernel/record.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cuminfold
{

/// Where a job stands. The last four are its ends; a job never leaves them.
enum class job_phase
{
    waiting,
    placed, ///< an attempt is leased to a VM
    finished,
    failed,
    cancelled,
    unknown
};

/// True for the phases that a job ends in.
constexpr bool is_end(job_phase phase) noexcept
{
    return phase >= job_phase::finished;
}

/// One job as the fold knows it.
struct job_entry
{
    job_id job_;
    job_request request_;
    data_centre_name home_;
    job_phase phase_ = job_phase::waiting;
    /// Grows with each effect on the job.
    generation generation_ = 0;
    /// Number of the latest attempt; the first is 1.
    std::uint32_t attempt_ = 0;
    vm_id vm_;
    duration lease_{0};
    /// The record that placed the latest attempt. Only its writer may send the
    /// task's start.
    record_id placed_by_;
    bool cancel_requested_ = false;
    /// VMs on which an attempt failed.
    std::set<vm_id> failed_on_;
    std::string checkpoint_;
    /// Why and how it ended, in words for the operator.
    std::string detail_;
    /// Offset of the last record that changed it.
    log_offset last_offset_ = 0;
};

/// Orders waiting jobs: urgent ones first, then those that wait longest.
struct waiting_key
{
    bool not_urgent_ = false; ///< not urgent
    log_offset since_ = 0;
    job_id job_;

    friend bool operator<(waiting_key const& a, waiting_key const& b)
    {
        return std::tie(a.not_urgent_, a.since_, a.job_) <
               std::tie(b.not_urgent_, b.since_, b.job_);
    }
};

/// All jobs that are not forgotten.
class job_table
{
public:
    job_entry const* find(job_id const& job) const;
    std::map<job_id, job_entry> const& all() const noexcept
    {
        return jobs_;
    }
    /// Jobs of one data centre that wait for a placement.
    std::set<waiting_key> const& waiting(data_centre_name const& home) const;
    /// Jobs of one data centre that are leased to a VM.
    std::set<job_id> const& placed(data_centre_name const& home) const;
    /// Whether a team that has waiting jobs holds fewer slots than its quota;
    /// `slots` gives a team's quota.
    bool
    any_team_below_quota(std::map<team_name, std::uint32_t> const& slots) const;
    /// Slots that the team's placed jobs hold.
    std::uint32_t slots_held(team_name const& team) const;

    /// @return false if the job is known.
    bool add(job_entry entry);

    /// Changes a job by `change(job_entry&)` and counts its generation.
    template <class Change>
    void change(job_id const& job, log_offset offset, Change&& change)
    {
        auto& entry = jobs_.at(job);
        count(entry, -1);
        change(entry);
        ++entry.generation_;
        entry.last_offset_ = offset;
        count(entry, +1);
    }

    /// Forgets ended jobs whose last record is at or before that offset.
    void forget(log_offset up_to);

    void restore(std::map<job_id, job_entry> jobs);

private:
    void count(job_entry const& entry, int sign);

    std::map<job_id, job_entry> jobs_;
    std::map<data_centre_name, std::set<waiting_key>> waiting_;
    std::map<data_centre_name, std::set<job_id>> placed_;
    std::map<team_name, std::uint32_t> waiting_by_team_;
    std::map<team_name, std::uint32_t> slots_held_;
};

} // namespace cuminfold

#endif
