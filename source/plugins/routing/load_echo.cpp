#include "kernel/registry.hpp"
#include "kernel/request/routing_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Chooses the worker with the lowest load: this gateway's dispatches plus the
/// slots of others that the worker last echoed. Full workers are not chosen.
class load_echo : public routing_strategy
{
public:
    std::optional<std::size_t> choose(std::vector<worker_view> const& workers,
                                      std::uint32_t,
                                      std::mt19937_64& random) override
    {
        std::optional<std::size_t> best;
        std::uint32_t best_load = 0;
        std::size_t const start = random() % workers.size();
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            std::size_t const index = (start + i) % workers.size();
            worker_view const& worker = workers[index];
            std::uint32_t const load =
                worker.in_flight_ + worker.used_by_others_;
            bool const full = load >= worker.limit_;
            if (!full && (!best || load < best_load))
            {
                best = index;
                best_load = load;
            }
        }
        return best;
    }
};

registrar<routing_strategy> const registered{
    "load_echo", [] { return std::make_unique<load_echo>(); }};

} // namespace

} // namespace cuminfold
