#include "kernel/registry.hpp"
#include "kernel/request/retry_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Never retries.
class no_retry : public retry_strategy
{
public:
    std::optional<duration> delay(retry_view const&, request_options const&,
                                  std::mt19937_64&) const override
    {
        return std::nullopt;
    }

    bool budgeted() const override
    {
        return true;
    }

    bool changes_worker() const override
    {
        return false;
    }
};

registrar<retry_strategy> const registered{
    "none", [] { return std::make_unique<no_retry>(); }};

} // namespace

} // namespace cuminfold
