#include "kernel/registry.hpp"
#include "kernel/request/admission_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Accepts every request while the bounded queue has room.
class bounded_queue : public admission_strategy
{
public:
    std::optional<reason> refuse(admission_view const& view) const override
    {
        if (view.queued_ >= view.queue_limit_)
        {
            return reason::queue_full;
        }
        return std::nullopt;
    }

    bool sheds_unreachable() const override
    {
        return false;
    }
};

registrar<admission_strategy> const registered{
    "bounded_queue", [] { return std::make_unique<bounded_queue>(); }};

} // namespace

} // namespace cuminfold
