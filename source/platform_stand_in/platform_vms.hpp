#ifndef CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_VMS_HPP
#define CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_VMS_HPP

#include "kernel/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace cuminfold
{

/// The stand-in's VMs, with a list that lags behind them.
class platform_vms
{
public:
    /// Sets what is known of a VM; `state` within is `live`, `leaving` or
    /// `gone`.
    void put(time_point now, std::string const& vm, nlohmann::json description);

    /// A VM's description; null if it is not known.
    nlohmann::json find(std::string const& vm) const;

    /// The list as it was `lag` ago.
    nlohmann::json list(time_point now, duration lag);

    /// Notes a reboot's token.
    /// @return false if the token was used before
    bool use_token(std::string const& token);

    std::size_t reboots() const noexcept
    {
        return tokens_.size();
    }

private:
    nlohmann::json current() const;

    std::map<std::string, nlohmann::json> vms_;
    std::uint64_t version_ = 0;
    /// Earlier lists with the time at which each became true.
    std::deque<std::pair<time_point, nlohmann::json>> history_;
    std::set<std::string> tokens_;
};

} // namespace cuminfold

#endif
