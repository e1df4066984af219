#ifndef CUMINFOLD_KERNEL_REQUEST_FORWARD_TABLE_HPP
#define CUMINFOLD_KERNEL_REQUEST_FORWARD_TABLE_HPP

#include "kernel/fleet/fleet_state.hpp"
#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <map>
#include <random>
#include <string>

namespace cuminfold
{

/// Chooses the gateway that a request is forwarded to.
class forward_table
{
public:
    /// A registered gateway, other than `self`, of that data centre; null:
    /// there is none that could be reached lately.
    gateway_entry const* choose(time_point now, fleet_state const& fleet,
                                node_id const& self,
                                data_centre_name const& data_centre,
                                std::mt19937_64& random) const;

    /// A registered gateway of another data centre that has VMs of the pool
    /// which take work; null: there is none.
    gateway_entry const* choose_elsewhere(time_point now,
                                          fleet_state const& fleet,
                                          data_centre_name const& own,
                                          pool_name const& pool,
                                          std::mt19937_64& random) const;

    /// The gateway at that address could not be reached.
    void failed(std::string const& address, time_point until);

private:
    bool held(time_point now, std::string const& address) const;

    std::map<std::string, time_point> failed_;
};

} // namespace cuminfold

#endif
