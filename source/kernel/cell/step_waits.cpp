#include "kernel/cell/step_waits.hpp"

#include <utility>

namespace cuminfold
{

void step_waits::begin_review()
{
    previous_ = std::exchange(current_, {});
}

duration step_waits::observe(step_id const& step, time_point now)
{
    auto const found = previous_.find(step);
    auto const since = found == previous_.end() ? now : found->second;
    return now - current_.emplace(step, since).first->second;
}

} // namespace cuminfold
