#include "kernel/registry.hpp"
#include "kernel/request/retry_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Retries up to three times without delay, regardless of load and worker,
/// until the deadline.
class blind_three : public retry_strategy
{
public:
    std::optional<duration> delay(retry_view const& view,
                                  request_options const&,
                                  std::mt19937_64&) const override
    {
        if (view.attempts_ > max_retries || view.time_left_ <= duration{0})
        {
            return std::nullopt;
        }
        return duration{0};
    }

    bool budgeted() const override
    {
        return false;
    }

    bool changes_worker() const override
    {
        return false;
    }

private:
    static constexpr std::uint32_t max_retries = 3;
};

registrar<retry_strategy> const registered{
    "blind_three", [] { return std::make_unique<blind_three>(); }};

} // namespace

} // namespace cuminfold
