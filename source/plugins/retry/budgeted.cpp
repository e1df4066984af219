#include "kernel/registry.hpp"
#include "kernel/request/retry_strategy.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Retries on another worker after a random delay with exponential backoff, if
/// the deadline leaves enough time and the pool's retry budget has a token.
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
        duration::rep const max_wait = options.retry_delay_.count()
                                       << doublings;
        duration const wait{
            static_cast<duration::rep>(random() % (max_wait + 1))};
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
