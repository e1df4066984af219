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
    /// A random registered gateway of `data_centre` other than `self`; null:
    /// there is none, or all are suspended after a failure.
    gateway_entry const* choose(time_point now, fleet_state const& fleet,
                                node_id const& self,
                                data_centre_name const& data_centre,
                                std::mt19937_64& random) const;

    /// A random registered gateway of another data centre where VMs of the pool
    /// take work; null: there is none, or all are suspended after a failure.
    gateway_entry const* choose_elsewhere(time_point now,
                                          fleet_state const& fleet,
                                          data_centre_name const& own,
                                          pool_name const& pool,
                                          std::mt19937_64& random) const;

    /// Suspends the gateway at that address until the given time.
    void on_failure(std::string const& address, time_point until);

private:
    bool is_suspended(time_point now, std::string const& address) const;

    /// By address.
    std::map<std::string, time_point> suspended_until_;
};

} // namespace cuminfold

#endif
