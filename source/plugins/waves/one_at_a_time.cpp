#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/registry.hpp"

#include <memory>
#include <vector>

namespace cuminfold
{

namespace
{

/// Drains one VM of the fleet at a time, one data centre after the other.
/// Serves as the simplest baseline.
class one_at_a_time : public wave_strategy
{
public:
    std::vector<vm_id> propose(wave_view const& view) const override
    {
        bool const may_propose =
            view.fleet_in_progress_ == 0 && view.remaining_before_ == 0;
        return select_within_budget(view, may_propose ? 1 : 0);
    }
};

registrar<wave_strategy> const registered{
    "one_at_a_time", [] { return std::make_unique<one_at_a_time>(); }};

} // namespace

} // namespace cuminfold
