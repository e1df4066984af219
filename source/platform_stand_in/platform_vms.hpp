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

/// VMs of the platform stand-in. `list()` returns earlier states to simulate
/// the platform's lag.
class platform_vms
{
public:
    /// Replaces a VM's description. Its `state` field is `live`, `leaving` or
    /// `gone`.
    void put(time_point now, std::string const& vm, nlohmann::json description);

    /// Returns a VM's current description, or null for an unknown VM.
    nlohmann::json find(std::string const& vm) const;

    /// Returns the list as it was `lag` before `now`; version 0 and no VMs if
    /// there was none. Discards older lists, so `now - lag` must not decrease.
    nlohmann::json list(time_point now, duration lag);

    /// Records a reboot's token.
    /// @return false if the token was used before
    bool use_token(std::string const& token);

    /// Number of distinct reboot tokens recorded.
    std::size_t reboots() const noexcept
    {
        return tokens_.size();
    }

private:
    nlohmann::json current() const;

    std::map<std::string, nlohmann::json> vms_;
    std::uint64_t version_ = 0;
    /// Lists of VMs, oldest first, each with the time from which it applied.
    std::deque<std::pair<time_point, nlohmann::json>> history_;
    std::set<std::string> tokens_;
};

} // namespace cuminfold

#endif
