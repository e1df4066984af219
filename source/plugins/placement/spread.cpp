#include "kernel/placement/placement_strategy.hpp"
#include "kernel/registry.hpp"

#include <cstddef>
#include <memory>
#include <tuple>
#include <vector>

namespace cuminfold
{

namespace
{

/// Chooses the rack with the fewest tasks and in it the VM with the fewest, so
/// that one failure stops as few jobs as possible. Ties go to the lowest VM
/// name.
class spread : public placement_strategy
{
public:
    std::size_t
    choose(std::vector<placement_candidate> const& candidates) const override
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < candidates.size(); ++i)
        {
            auto const& a = candidates[i];
            auto const& b = candidates[best];
            if (std::tie(a.rack_tasks_, a.tasks_, a.vm_->vm_) <
                std::tie(b.rack_tasks_, b.tasks_, b.vm_->vm_))
            {
                best = i;
            }
        }
        return best;
    }
};

registrar<placement_strategy> const registered{
    "spread", [] { return std::make_unique<spread>(); }};

} // namespace

} // namespace cuminfold
