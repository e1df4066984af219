#include "kernel/registry.hpp"
#include "kernel/request/routing_strategy.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Gives each gateway a fixed share of each worker's slots and chooses the
/// worker with the fewest dispatches of this gateway. A gateway exceeds its
/// share only on a worker whose last echoed load shows idle slots.
class fixed_share : public routing_strategy
{
public:
    std::optional<std::size_t> choose(std::vector<worker_view> const& workers,
                                      std::uint32_t gateways,
                                      std::mt19937_64& random) override
    {
        std::optional<std::size_t> best;
        std::size_t const start = random() % workers.size();
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            std::size_t const index = (start + i) % workers.size();
            worker_view const& worker = workers[index];
            bool const better =
                !best || worker.in_flight_ < workers[*best].in_flight_;
            if (better && has_slot(worker, gateways))
            {
                best = index;
            }
        }
        return best;
    }

private:
    static bool has_slot(worker_view const& worker, std::uint32_t gateways)
    {
        std::uint32_t const share = std::max(worker.limit_ / gateways, 1U);
        if (worker.in_flight_ < share)
        {
            return true;
        }
        return worker.echoed_ &&
               worker.in_flight_ + worker.used_by_others_ < worker.limit_;
    }
};

registrar<routing_strategy> const registered{
    "fixed_share", [] { return std::make_unique<fixed_share>(); }};

} // namespace

} // namespace cuminfold
