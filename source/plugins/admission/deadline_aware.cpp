#include "kernel/registry.hpp"
#include "kernel/request/admission_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Accepts a request only if the bounded queue has room and the predicted wait
/// and service time end before its deadline.
class deadline_aware : public admission_strategy
{
public:
    std::optional<reason> refuse(admission_view const& view) const override
    {
        if (view.queued_ >= view.queue_limit_)
        {
            return reason::queue_full;
        }
        if (view.wait_ + view.service_ > view.time_left_)
        {
            return reason::deadline_unreachable;
        }
        return std::nullopt;
    }

    bool sheds_unreachable() const override
    {
        return true;
    }
};

registrar<admission_strategy> const registered{
    "deadline_aware", [] { return std::make_unique<deadline_aware>(); }};

} // namespace

} // namespace cuminfold
