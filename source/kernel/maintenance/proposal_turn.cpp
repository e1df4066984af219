#include "kernel/maintenance/proposal_turn.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cuminfold
{

namespace
{

/// A cause that was not seen for so long is a new one.
constexpr duration idle_limit = std::chrono::seconds{5};
constexpr duration pause_first = std::chrono::seconds{1};
constexpr duration pause_limit = std::chrono::seconds{30};

} // namespace

bool proposal_turn::due(duty_context& context, std::string const& entity,
                        generation relied_on)
{
    auto const [place, fresh] = waiting_.try_emplace(entity);
    waiting& entry = place->second;
    bool const idle = context.now_ - entry.asked_at_ > idle_limit;
    if (fresh || idle || entry.relied_on_ != relied_on)
    {
        duration const patience =
            context.rank(entity) * context.settings_.rank_step_;
        entry = waiting{relied_on, context.now_ + patience, context.now_,
                        pause_first};
    }
    entry.asked_at_ = context.now_;
    return context.now_ >= entry.due_at_ &&
           !guard_.waits(context.fleet_writer_, entity);
}

void proposal_turn::propose(duty_context& context, std::string const& entity,
                            record_body body)
{
    guard_.proposed(entity, context.propose(std::move(body)));
    waiting& entry = waiting_[entity];
    entry.due_at_ = context.now_ + entry.pause_;
    entry.pause_ = std::min(2 * entry.pause_, pause_limit);
}

void proposal_turn::forget_idle(time_point now)
{
    for (auto place = waiting_.begin(); place != waiting_.end();)
    {
        bool const idle = now - place->second.asked_at_ > idle_limit;
        place = idle ? waiting_.erase(place) : std::next(place);
    }
}

} // namespace cuminfold
