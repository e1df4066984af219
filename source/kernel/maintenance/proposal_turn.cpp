#include "kernel/maintenance/proposal_turn.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cuminfold
{

namespace
{

/// After this time without a call to `is_due`, the next call counts as a new
/// cause.
constexpr duration idle_timeout = std::chrono::seconds{5};
constexpr duration initial_backoff = std::chrono::seconds{1};
constexpr duration max_backoff = std::chrono::seconds{30};

} // namespace

bool proposal_scheduler::is_due(duty_context& context,
                                std::string const& entity, generation relied_on)
{
    auto const [place, inserted] = waiting_.try_emplace(entity);
    waiting& entry = place->second;
    bool const idle = context.now_ - entry.last_requested_ > idle_timeout;
    if (inserted || idle || entry.relied_on_ != relied_on)
    {
        duration const rank_delay =
            context.rank(entity) * context.settings_.rank_step_;
        entry = waiting{relied_on, context.now_ + rank_delay, context.now_,
                        initial_backoff};
    }
    entry.last_requested_ = context.now_;
    return context.now_ >= entry.due_at_ &&
           !guard_.waits(context.fleet_writer_, entity);
}

void proposal_scheduler::propose(duty_context& context,
                                 std::string const& entity, record_body body)
{
    guard_.proposed(entity, context.propose(std::move(body)));
    waiting& entry = waiting_[entity];
    entry.due_at_ = context.now_ + entry.backoff_;
    entry.backoff_ = std::min(2 * entry.backoff_, max_backoff);
}

void proposal_scheduler::forget_idle(time_point now)
{
    for (auto place = waiting_.begin(); place != waiting_.end();)
    {
        bool const idle = now - place->second.last_requested_ > idle_timeout;
        place = idle ? waiting_.erase(place) : std::next(place);
    }
}

} // namespace cuminfold
