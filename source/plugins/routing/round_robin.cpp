#include "kernel/registry.hpp"
#include "kernel/request/routing_strategy.hpp"

namespace cuminfold
{

namespace
{

/// Chooses the workers in cyclic order, regardless of load.
class round_robin : public routing_strategy
{
public:
    std::optional<std::size_t> choose(std::vector<worker_view> const& workers,
                                      std::uint32_t, std::mt19937_64&) override
    {
        return next_++ % workers.size();
    }

private:
    std::size_t next_ = 0;
};

registrar<routing_strategy> const registered{
    "round_robin", [] { return std::make_unique<round_robin>(); }};

} // namespace

} // namespace cuminfold
