#include "config/sections/sections.hpp"

#include <cstddef>
#include <string>

namespace cuminfold::detail
{

void read_budget(section_reader& in, std::string const& name,
                 intended_state& state)
{
    budget_spec budget;
    budget.pool_ = pool_name{name};
    std::size_t reserve = static_cast<std::size_t>(reserve_kind::rack);
    in.require("need");
    in.read("need", budget.need_, 0, count_limit);
    in.read_choice("reserve", {"none", "vm", "rack"}, reserve);
    in.read("max_draining", budget.max_draining_, 0, count_limit);
    budget.reserve_ = static_cast<reserve_kind>(reserve);
    auto const pool = state.pools_.find(budget.pool_);
    if (pool == state.pools_.end())
    {
        in.fail("need", "no pool '" + name + "'");
    }
    else if (budget.need_ > pool->second.size_)
    {
        in.fail("need", "more than the pool's size " +
                            std::to_string(pool->second.size_));
    }
    state.budgets_[budget.pool_] = budget;
}

} // namespace cuminfold::detail
