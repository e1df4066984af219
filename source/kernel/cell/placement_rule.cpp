#include "kernel/cell/placement_rule.hpp"

#include "kernel/cell/task_isolation.hpp"

#include <algorithm>
#include <array>

namespace cuminfold
{

namespace
{

bool is_listed(placement_view const& view)
{
    return !view.worker_.unlisted_;
}

bool is_fenced(placement_view const& view)
{
    return view.worker_.fenced_ && has_current_registration(view.worker_);
}

bool accepts_tasks(placement_view const& view)
{
    return !view.worker_.entry_.draining_ &&
           (view.ignores_reservation_ || !view.worker_.reserved_);
}

bool answers_renewals(placement_view const& view)
{
    return view.worker_.unanswered_renewals_ == 0;
}

/// How long a worker that is avoided gets no long-running task after a failure.
constexpr duration long_running_pause = std::chrono::seconds{1};

bool is_avoided(placement_view const& view)
{
    return view.now_ < view.worker_.avoided_until_;
}

/// Long-running tasks have no attempts to lose: for them an avoided worker is
/// the last choice, and not excluded for as long as it fails.
bool is_not_avoided(placement_view const& view)
{
    return !is_avoided(view) ||
           (view.shape_.long_running_ &&
            view.now_ >= view.worker_.last_failure_ + long_running_pause);
}

bool has_label(placement_view const& view)
{
    return view.shape_.label_.empty() ||
           view.worker_.entry_.labels_.count(view.shape_.label_) != 0;
}

bool respects_anti_affinity(placement_view const& view)
{
    return view.shape_.per_worker_ == 0 ||
           view.same_step_ < view.shape_.per_worker_;
}

/// An orphaned run uses an unknown amount of resources.
bool has_no_orphaned_runs(placement_view const& view)
{
    return view.worker_.orphaned_runs_.empty();
}

bool has_room(placement_view const& view)
{
    resource_amount need = view.worker_.used_;
    need += view.shape_.each_;
    if (view.shape_.best_effort_)
    {
        need.cpu_milli_ = 0;
    }
    return need.fits(view.worker_.entry_.size_);
}

/// A task that may crash its worker is kept from the others.
bool is_isolation_respected(placement_view const& view)
{
    return !view.isolation_ ||
           respects_isolation(view.worker_, *view.isolation_, view.now_);
}

/// A best-effort task would increase the tail latency of a bounded task on the
/// same worker.
bool respects_tail_bounds(placement_view const& view)
{
    bool const bounded = view.shape_.tail_target_ > duration{0};
    return !(view.shape_.best_effort_ &&
             view.worker_.tail_bounded_tasks_ > 0) &&
           !(bounded && view.worker_.best_effort_tasks_ > 0);
}

constexpr std::array<placement_rule, 11> rules = {{
    {"worker_gone", is_listed},
    {"worker_not_fenced", is_fenced},
    {"worker_leaving", accepts_tasks},
    {"worker_silent", answers_renewals},
    {"worker_failing", is_not_avoided},
    {"label_missing", has_label},
    {"anti_affinity", respects_anti_affinity},
    {"stray_run", has_no_orphaned_runs},
    {"disturbance", respects_tail_bounds},
    {"isolation", is_isolation_respected},
    {"no_room", has_room},
}};

} // namespace

placement_rule const* violated_rule(placement_view const& view)
{
    for (auto const& rule : rules)
    {
        if (!rule.is_satisfied_(view))
        {
            return &rule;
        }
    }
    return nullptr;
}

bool is_candidate(worker_state const& worker, bool ignores_reservation,
                  time_point now)
{
    // An empty step breaks only rules that every task would break; the rule on
    // avoided workers makes an exception for long-running ones.
    static job_step const empty_step = []
    {
        job_step step;
        step.long_running_ = true;
        return step;
    }();
    return violated_rule({worker, empty_step, 0, now, std::nullopt,
                          ignores_reservation}) == nullptr;
}

std::uint32_t task_slots(placement_view const& view, std::uint32_t limit)
{
    if (violated_rule(view) != nullptr)
    {
        return 0;
    }
    std::int64_t slots = limit;
    if (view.shape_.per_worker_ != 0)
    {
        slots = std::min<std::int64_t>(slots, view.shape_.per_worker_ -
                                                  view.same_step_);
    }
    auto room = view.worker_.entry_.size_;
    room -= view.worker_.used_;
    auto const& each = view.shape_.each_;
    if (each.cpu_milli_ > 0 && !view.shape_.best_effort_)
    {
        slots = std::min(slots, room.cpu_milli_ / each.cpu_milli_);
    }
    if (each.memory_mb_ > 0)
    {
        slots = std::min(slots, room.memory_mb_ / each.memory_mb_);
    }
    if (each.accelerators_ > 0)
    {
        slots = std::min(slots, room.accelerators_ / each.accelerators_);
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, slots));
}

double placement_score(placement_view const& view)
{
    constexpr double data_rack_bonus = 10;
    constexpr double failure_penalty = 2;
    constexpr double long_running_bonus = 1;
    // Exceeds all other parts of the score.
    constexpr double avoidance_penalty = 10'000;
    auto const& worker = view.worker_;
    // Prefers the fullest worker with room, because empty workers can be moved
    // to another pool.
    double score = worker_share(worker.used_, worker.entry_.size_);
    score -= failure_penalty * worker.consecutive_failures_;
    score -= is_avoided(view) ? avoidance_penalty : 0;
    if (!view.shape_.data_rack_.empty() &&
        worker.entry_.labels_.count(view.shape_.data_rack_) != 0)
    {
        score += data_rack_bonus;
    }
    if (worker.long_running_tasks_ > 0)
    {
        score += long_running_bonus;
    }
    if (view.shape_.long_running_)
    {
        constexpr double same_step_penalty = 5;
        score -= same_step_penalty * view.same_step_;
    }
    return score;
}

double worker_share(resource_amount const& need, resource_amount const& size)
{
    auto const share = [](std::int64_t part, std::int64_t whole)
    {
        return part <= 0
                   ? 0.0
                   : static_cast<double>(part) /
                         static_cast<double>(std::max<std::int64_t>(1, whole));
    };
    return std::max({share(need.cpu_milli_, size.cpu_milli_),
                     share(need.memory_mb_, size.memory_mb_),
                     share(need.accelerators_, size.accelerators_)});
}

} // namespace cuminfold
