#ifndef CUMINFOLD_KERNEL_CELL_JOB_RANKING_HPP
#define CUMINFOLD_KERNEL_CELL_JOB_RANKING_HPP

#include "kernel/cell/admission_check.hpp"
#include "kernel/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace cuminfold
{

/// The size of a job among the recent jobs of its queue.
enum class size_class : std::uint8_t
{
    usual,
    large,  ///< the fifth below the largest tenth
    largest ///< the largest tenth
};
inline constexpr std::size_t size_classes = 3;

/// Number of queue jobs of each `size_class`.
using class_counts = std::array<double, size_classes>;

/// Share of its jobs that a size class keeps, relative to all jobs of a pool.
/// Callers are promised half; admission refuses large jobs more often, so that
/// the selection has to keep more. Of 0.65, 0.7 and 0.8 it had the most jobs of
/// a burst in time, on six seeds only: see docs/design/job-ranking.md.
inline constexpr double min_relative_service = 0.7;

/// A job lasts at most this many times its objective before it has no value.
inline constexpr std::int64_t last_deadline_factor = 3;

/// An open job of a pool. Times are counted from now.
struct ranked_job
{
    bool long_running_ = false;
    /// Its workspace has more than its share.
    bool beyond_share_ = false;
    std::uint32_t priority_ = 0; ///< 0 is the highest
    duration deadline_{0};
    /// Run time of the longest chain of steps that is left.
    duration path_{0};
    /// After this the job's end has no value.
    duration last_deadline_{0};
    /// Work left in worker-seconds, and the part of it that is under way.
    double work_ = 0;
    double running_ = 0;
    size_class size_ = size_class::usual;
    /// It cannot meet its deadline, whatever else runs.
    bool late_ = false;
    /// Some task of it has begun.
    bool begun_ = false;
};

/// When the last task of a job has to begin.
inline duration latest_start(ranked_job const& job)
{
    return job.deadline_ - job.path_;
}

/// Groups of jobs in the order of their placement.
enum class job_rank : std::uint8_t
{
    selected, ///< all of them fit before their deadlines
    deferred, ///< left out, so that the selected ones fit
    late,
    overdue ///< late, and after the last deadline
};

/// Selects the jobs that the pool can do before their deadlines.
///
/// Goes through the jobs by their latest start, as the Moore-Hodgson rule does
/// by deadline: the fewer and longer a job's tasks, the earlier they have to
/// begin. Where
/// their sum no longer fits, it drops jobs beyond their workspace's share
/// first, then those of the lowest priority, then the one with the most work
/// left. A size class from which the drop would leave less than
/// `min_relative_service` of the share that is left of all jobs is passed over.
/// Long-running jobs are always selected, and work under way always counts.
/// @return the rank of each job, in the order of `jobs`
std::vector<job_rank> rank_jobs(std::vector<ranked_job> const& jobs,
                                pool_capacity const& pool);

/// Whether `next` may be accepted although it does not fit beside all of
/// `open`: it would be selected, it would displace only jobs that have not
/// begun and that are further beyond their share or of lower priority, and
/// each deferred or late job that can end before its last deadline still can.
bool may_displace(std::vector<ranked_job> const& open, ranked_job const& next,
                  pool_capacity const& pool);

/// Sort key of the jobs of a pool, least first.
using placement_key = std::tuple<job_rank, bool, bool, std::uint32_t, double>;

/// @param overloaded whether selected jobs go by their latest start and the
/// others by the least work left; if not, all go by deadline
placement_key key_of(ranked_job const& job, job_rank rank, bool overloaded);

/// The sizes of a queue's recent jobs, whether they were accepted or not.
class job_sizes
{
public:
    void add(double work);
    size_class classify(double work) const;

private:
    /// Enough for a largest tenth of six jobs.
    static constexpr std::size_t samples = 64;
    /// The limits between classes are renewed after that many jobs.
    static constexpr std::size_t renewal_interval = 16;

    std::vector<double> works_;
    std::size_t next_sample_ = 0;
    /// The least work of a large job, and of a largest one; unset until
    /// `renewal_interval` jobs were seen.
    std::optional<std::array<double, 2>> limits_;
};

} // namespace cuminfold

#endif
