#include "kernel/registry.hpp"
#include "kernel/request/retry_strategy.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Retries on another worker after a random delay, if the deadline allows and
/// the pool's budget pays for it.
class budgeted_retry : public retry_strategy
{
public:
    std::optional<duration> delay(retry_view const& view,
                                  request_options const& options,
                                  std::mt19937_64& random) const override
    {
        if (view.attempts_ >= options.attempts_)
        {
            return std::nullopt;
        }
        std::uint32_t const doublings = std::min(view.attempts_ - 1, 10U);
        duration::rep const bound = options.retry_delay_.count() << doublings;
        duration const wait{static_cast<duration::rep>(random() % (bound + 1))};
        if (wait + view.service_ > view.time_left_)
        {
            return std::nullopt;
        }
        return wait;
    }

    bool budgeted() const override
    {
        return true;
    }

    bool changes_worker() const override
    {
        return true;
    }
};

registrar<retry_strategy> const registered{
    "budgeted", [] { return std::make_unique<budgeted_retry>(); }};

} // namespace

} // namespace cuminfold
