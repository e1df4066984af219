#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Samples of the log position taken within one retention window.
constexpr int samples_per_window = 24;

/// Removes the jobs that ended longer ago than the retention window. The
/// sampled log positions are kept only in this process, so after a restart jobs
/// are removed later, never earlier.
class job_cleanup : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (!std::holds_alternative<tick>(event) || !context.ready_)
        {
            return;
        }
        duration const window = context.settings_.job_window_;
        if (samples_.empty() ||
            context.now_ - samples_.back().first >= window / samples_per_window)
        {
            samples_.emplace_back(context.now_, context.fleet_.next());
        }
        if (context.now_ - samples_.front().first < window)
        {
            return;
        }
        log_offset const next = samples_.front().second;
        samples_.pop_front();
        if (next != 0 && context.rank("job-cleanup") == 0 &&
            has_job_ended_before(context, next))
        {
            context.propose(jobs_forgotten{next - 1});
        }
    }

private:
    static bool has_job_ended_before(duty_context& context, log_offset next)
    {
        auto const& jobs = context.fleet_.jobs().all();
        return std::any_of(jobs.begin(), jobs.end(),
                           [&](auto const& item) {
                               return is_end(item.second.phase_) &&
                                      item.second.last_offset_ < next;
                           });
    }

    std::deque<std::pair<time_point, log_offset>> samples_;
};

registrar<controller_duty> const registered{
    "job_cleanup",
    [](controller_settings const&) { return std::make_unique<job_cleanup>(); }};

} // namespace

} // namespace cuminfold
