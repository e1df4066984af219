#include "kernel/registry.hpp"
#include "kernel/request/routing_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Picks two workers at random and chooses the one with fewer dispatches of
/// this gateway.
class power_of_two : public routing_strategy
{
public:
    std::optional<std::size_t> choose(std::vector<worker_view> const& workers,
                                      std::uint32_t,
                                      std::mt19937_64& random) override
    {
        std::size_t const first = random() % workers.size();
        std::size_t const second = random() % workers.size();
        bool const better =
            workers[second].in_flight_ < workers[first].in_flight_;
        return better ? second : first;
    }
};

registrar<routing_strategy> const registered{
    "power_of_two", [] { return std::make_unique<power_of_two>(); }};

} // namespace

} // namespace cuminfold
