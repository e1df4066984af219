#include "config/sections/sections.hpp"

#include <string>
#include <utility>
#include <vector>

namespace cuminfold::detail
{

void read_wave(section_reader& in, std::string const& name,
               intended_state& state)
{
    wave_spec wave;
    wave.name_ = wave_name{name};
    std::vector<std::string> pools;
    std::vector<std::string> vms;
    in.read("pools", pools);
    in.read("vms", vms);
    in.read("window", wave.window_);
    in.read("strategy", wave.strategy_);
    in.read("canary", wave.canary_, 1, count_limit);
    wave.pools_ = to_names<pool_name>(pools);
    wave.vms_ = to_names<vm_id>(vms);
    for (auto const& pool : wave.pools_)
    {
        if (state.pools_.count(pool) == 0)
        {
            in.fail("pools", "no pool '" + pool.text() + "'");
        }
    }
    if (!wave.window_.empty() && state.windows_.count(wave.window_) == 0)
    {
        in.fail("window", "no window '" + wave.window_ + "'");
    }
    if (wave.pools_.empty() && wave.vms_.empty())
    {
        in.fail("pools", "a wave names pools or vms");
    }
    state.waves_[wave.name_] = std::move(wave);
}

} // namespace cuminfold::detail
