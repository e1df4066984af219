#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/registry.hpp"

#include <memory>
#include <vector>

namespace cuminfold
{

namespace
{

/// Drains the canary first, then every VM that the budgets can spare. While the
/// wave widens, at most the canary plus as many VMs as have returned are in
/// progress.
class fastest_rollout : public wave_strategy
{
public:
    std::vector<vm_id> propose(wave_view const& view) const override
    {
        return select_within_budget(view, progressive_rollout_limit(view));
    }
};

registrar<wave_strategy> const registered{
    "fastest_rollout", [] { return std::make_unique<fastest_rollout>(); }};

} // namespace

} // namespace cuminfold
