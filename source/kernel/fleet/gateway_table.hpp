#ifndef CUMINFOLD_KERNEL_FLEET_GATEWAY_TABLE_HPP
#define CUMINFOLD_KERNEL_FLEET_GATEWAY_TABLE_HPP

#include "kernel/identifier.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// A registered gateway.
struct gateway_entry
{
    incarnation gateway_;
    data_centre_name data_centre_;
    std::string address_;
    /// `fleet_data::order_` when the incarnation first registered.
    std::uint64_t registered_order_ = 0;
};

/// The registered incarnation of each gateway, by node.
class gateway_table
{
public:
    /// Replaces the entry of the same node, if there is one.
    void register_gateway(gateway_entry entry)
    {
        gateways_[entry.gateway_.node_] = std::move(entry);
    }

    /// @return false if that incarnation is not the registered one
    bool unregister_gateway(incarnation const& gateway)
    {
        auto const found = gateways_.find(gateway.node_);
        if (found == gateways_.end() || found->second.gateway_ != gateway)
        {
            return false;
        }
        gateways_.erase(found);
        return true;
    }

    /// Whether that incarnation is registered and has not been replaced.
    bool is_registered(incarnation const& gateway) const
    {
        auto const found = gateways_.find(gateway.node_);
        return found != gateways_.end() && found->second.gateway_ == gateway;
    }

    /// Gateways of a data centre whose `registered_order_` is below `order`.
    std::vector<incarnation>
    registered_before(data_centre_name const& data_centre,
                      std::uint64_t order) const
    {
        std::vector<incarnation> result;
        for (auto const& item : gateways_)
        {
            gateway_entry const& entry = item.second;
            if (entry.data_centre_ == data_centre &&
                entry.registered_order_ < order)
            {
                result.push_back(entry.gateway_);
            }
        }
        return result;
    }

    std::map<node_id, gateway_entry> const& all() const noexcept
    {
        return gateways_;
    }

    /// Replaces all entries by those of a snapshot.
    void restore(std::map<node_id, gateway_entry> gateways)
    {
        gateways_ = std::move(gateways);
    }

private:
    std::map<node_id, gateway_entry> gateways_;
};

} // namespace cuminfold

#endif
