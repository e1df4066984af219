#include "kernel/maintenance/wave_strategy.hpp"
#include "kernel/registry.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <vector>

namespace cuminfold
{

namespace
{

constexpr std::uint32_t share_divisor = 10;

/// Keeps up to a tenth of the wave's VMs, at least one, in progress, even if
/// the pools can spare more. Serves as a baseline.
class fixed_share : public wave_strategy
{
public:
    std::vector<vm_id> propose(wave_view const& view) const override
    {
        std::uint32_t const share = std::max(view.total_ / share_divisor, 1U);
        return select_within_budget(
            view, share > view.in_progress_ ? share - view.in_progress_ : 0);
    }
};

registrar<wave_strategy> const registered{
    "fixed_share", [] { return std::make_unique<fixed_share>(); }};

} // namespace

} // namespace cuminfold
