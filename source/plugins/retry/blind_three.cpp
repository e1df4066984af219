#include "kernel/registry.hpp"
#include "kernel/request/retry_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Three retries at once, whatever the load and whichever the worker.
class blind_three : public retry_strategy
{
public:
    std::optional<duration> delay(retry_view const& view,
                                  request_options const&,
                                  std::mt19937_64&) const override
    {
        if (view.attempts_ > retries || view.time_left_ <= duration{0})
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
    static constexpr std::uint32_t retries = 3;
};

registrar<retry_strategy> const registered{
    "blind_three", [] { return std::make_unique<blind_three>(); }};

} // namespace

} // namespace cuminfold
