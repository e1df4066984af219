#include "config/sections/sections.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cuminfold::detail
{

void read_pool(section_reader& in, std::string const& name,
               intended_state& state)
{
    pool_spec pool;
    pool.name_ = pool_name{name};
    std::map<std::string, std::uint32_t> spread;
    in.read("size", pool.size_, 0, count_limit);
    in.read("spread", spread);
    in.read("spare", pool.spare_);
    std::uint64_t total = 0;
    for (auto const& item : spread)
    {
        pool.spread_[data_centre_name{item.first}] = item.second;
        total += item.second;
    }
    if (!spread.empty() && !in.has("size"))
    {
        pool.size_ = static_cast<std::uint32_t>(total);
    }
    else if (!spread.empty() && total != pool.size_)
    {
        in.fail("spread", "adds up to " + std::to_string(total) +
                              ", not to the size " +
                              std::to_string(pool.size_));
    }
    state.pools_[pool.name_] = std::move(pool);
}

} // namespace cuminfold::detail
