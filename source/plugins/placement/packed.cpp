#include "kernel/placement/placement_strategy.hpp"
#include "kernel/registry.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace cuminfold
{

namespace
{

/// Chooses the VM with the most tasks, so that drains affect as few VMs with
/// jobs as possible. Ties go to the lowest VM name.
class packed : public placement_strategy
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
            if (a.tasks_ > b.tasks_ ||
                (a.tasks_ == b.tasks_ && a.vm_->vm_ < b.vm_->vm_))
            {
                best = i;
            }
        }
        return best;
    }
};

registrar<placement_strategy> const registered{
    "packed", [] { return std::make_unique<packed>(); }};

} // namespace

} // namespace cuminfold
