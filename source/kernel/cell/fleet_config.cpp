#include "kernel/cell/fleet_config.hpp"

namespace cuminfold
{

queue_route const* fleet_config::find(std::string const& host,
                                      std::string const& path) const
{
    queue_route const* best = nullptr;
    for (auto const& route : routes_)
    {
        if (route.host_ == host &&
            path.compare(0, route.path_prefix_.size(), route.path_prefix_) ==
                0 &&
            (best == nullptr ||
             route.path_prefix_.size() > best->path_prefix_.size()))
        {
            best = &route;
        }
    }
    return best;
}

queue_route const* fleet_config::find_by_name(std::string const& name) const
{
    for (auto const& route : routes_)
    {
        if (route.name_ == name)
        {
            return &route;
        }
    }
    return nullptr;
}

} // namespace cuminfold
