#ifndef CUMINFOLD_TESTS_SOAK_SOAK_ORACLE_HPP
#define CUMINFOLD_TESTS_SOAK_SOAK_ORACLE_HPP

#include "platform/stand_in/worker_observer.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// Judges a run by what clients and workers see. It knows nothing of the
/// program's own state. Any thread may call it.
class soak_oracle : public platform::worker_observer
{
public:
    using clock = std::chrono::steady_clock;

    /// @name What workers see
    /// @{
    void started(std::string const& worker, task_id const& task,
                 std::uint32_t run) override;
    void ended(std::string const& worker, end_report const& end) override;
    void end_acknowledged(std::string const& worker,
                          end_report const& end) override;
    /// All that ran there is gone.
    void crashed(std::string const& worker);
    void draining(std::string const& worker);
    /// @}

    /// @name What clients see
    /// @{
    /// A client is about to send that job for the first time.
    void asked(std::string const& job, std::uint32_t tasks, bool two_steps,
               bool lasting);
    void accepted(std::string const& job);
    /// Each attempt to hand the job in was rejected, or never sent.
    void rejected(std::string const& job);
    void cancel_sent(std::string const& job);
    void cancel_acknowledged(std::string const& job);
    /// A node said so; empty: that there is no such job.
    /// @param sent when the client asked
    void shown(std::string const& job, std::string const& standing,
               clock::time_point sent);
    /// A call succeeded by a key that never existed or was revoked longer ago
    /// than the limit.
    void key_accepted(std::string const& key);
    /// @}

    /// Judges what must hold once all faults are over and time has passed.
    void judge_end();
    std::vector<std::string> breaches() const;
    std::size_t starts() const;

private:
    struct run_place
    {
        std::string worker_;
        std::uint32_t run_ = 0;

        friend bool operator<(run_place const& a, run_place const& b)
        {
            return a.worker_ != b.worker_ ? a.worker_ < b.worker_
                                          : a.run_ < b.run_;
        }
    };
    struct task_history
    {
        std::set<run_place> running_;
        /// Runs that ended as done, and whether another began after that.
        std::map<run_place, bool> done_;
        bool ever_done_ = false;
        bool done_noted_ = false;
    };
    struct job_history
    {
        std::uint32_t tasks_ = 0;
        bool two_steps_ = false;
        bool long_running_ = false;
        bool accepted_ = false;
        bool rejected_ = false;
        bool cancel_sent_ = false;
        bool completed_shown_ = false;
        clock::time_point accepted_at_{};
        /// Far in the future: it was not acknowledged.
        clock::time_point cancelled_at_ = clock::time_point::max();
    };

    void breach(std::string const& rule, std::string const& what);
    bool is_done(task_id const& task) const;
    bool is_done(std::string const& job, job_history const& history) const;

    mutable std::mutex mutex_;
    std::map<task_id, task_history> tasks_;
    std::map<std::string, job_history> jobs_;
    std::map<std::string, clock::time_point> draining_;
    std::size_t starts_ = 0;
    std::vector<std::string> breaches_;
};

} // namespace cuminfold

#endif
