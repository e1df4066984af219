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

/// Status of a job. The last four values are final.
enum class job_phase
{
    waiting,
    placed, ///< an attempt is leased to a VM
    finished,
    failed,
    cancelled,
    unknown
};

/// Whether the phase is final.
constexpr bool is_end(job_phase phase) noexcept
{
    return phase >= job_phase::finished;
}

/// State of one job, folded from the log.
struct job_entry
{
    job_id job_;
    job_request request_;
    data_centre_name home_;
    job_phase phase_ = job_phase::waiting;
    /// Incremented by each change of the job.
    generation generation_ = 0;
    /// Number of the latest attempt; the first is 1.
    std::uint32_t attempt_ = 0;
    vm_id vm_;
    duration lease_{0};
    /// The record that placed the latest attempt. Only its writer may send the
    /// request that starts the task.
    record_id placed_by_;
    bool cancel_requested_ = false;
    /// VMs on which an attempt failed.
    std::set<vm_id> failed_on_;
    std::string checkpoint_;
    /// How and why the job or its last attempt ended, as text for the operator.
    std::string detail_;
    /// Offset of the last record that changed the job.
    log_offset last_offset_ = 0;
};

/// Sort key of waiting jobs: urgent jobs first, then by waiting time, longest
/// first.
struct waiting_key
{
    bool not_urgent_ = false;
    /// Offset of the record from which the job has waited.
    log_offset since_ = 0;
    job_id job_;

    friend bool operator<(waiting_key const& a, waiting_key const& b)
    {
        return std::tie(a.not_urgent_, a.since_, a.job_) <
               std::tie(b.not_urgent_, b.since_, b.job_);
    }
};

/// All jobs, until `forget` erases them after their end.
class job_table
{
public:
    job_entry const* find(job_id const& job) const;
    std::map<job_id, job_entry> const& all() const noexcept
    {
        return jobs_;
    }
    /// Jobs of one data centre that are waiting for a placement.
    std::set<waiting_key> const& waiting(data_centre_name const& home) const;
    /// Jobs of one data centre that are leased to a VM.
    std::set<job_id> const& placed(data_centre_name const& home) const;
    /// Whether any team with waiting jobs holds fewer slots than its quota.
    /// @param slots quota of each team, in slots; teams without one do not
    /// count
    bool
    any_team_below_quota(std::map<team_name, std::uint32_t> const& slots) const;
    /// Slots that the team's placed jobs hold.
    std::uint32_t slots_held(team_name const& team) const;

    /// @return false, without a change, if the table holds the job already
    bool add(job_entry entry);

    /// Calls `change(job_entry&)` for a job in the table, increments its
    /// generation, sets its last offset and updates the indexes.
    /// @throws std::out_of_range if the table does not hold the job
    template <class Change>
    void change(job_id const& job, log_offset offset, Change&& change)
    {
        auto& entry = jobs_.at(job);
        update_indexes(entry, -1);
        change(entry);
        ++entry.generation_;
        entry.last_offset_ = offset;
        update_indexes(entry, +1);
    }

    /// Erases jobs that have ended and whose last offset is at most `up_to`.
    void forget(log_offset up_to);

    /// Replaces all jobs by those of a snapshot and rebuilds the indexes.
    void restore(std::map<job_id, job_entry> jobs);

private:
    /// Adds the job to the indexes (`sign` +1) or removes it from them (-1).
    void update_indexes(job_entry const& entry, int sign);

    std::map<job_id, job_entry> jobs_;
    std::map<data_centre_name, std::set<waiting_key>> waiting_;
    std::map<data_centre_name, std::set<job_id>> placed_;
    std::map<team_name, std::uint32_t> waiting_by_team_;
    std::map<team_name, std::uint32_t> slots_held_;
};

} // namespace cuminfold

#endif
