#ifndef CUMINFOLD_KERNEL_CELL_WORKSPACE_ACCESS_HPP
#define CUMINFOLD_KERNEL_CELL_WORKSPACE_ACCESS_HPP

#include "kernel/cell/client_call.hpp"
#include "kernel/cell/fleet_config.hpp"
#include "kernel/time.hpp"

#include <cstdint>

namespace cuminfold
{

/// Bounds on the age of a configuration by which calls with keys are decided.
/// The age is the time since the configuration was known to be the newest.
struct access_limits
{
    /// An unknown key is rejected only by a configuration that is younger: a
    /// newer one may hold the key.
    duration max_age_to_reject_ = std::chrono::milliseconds{1500};
    /// A known key is accepted only by a configuration that is younger, since
    /// a newer one may have revoked the key. 0: the deployment has no limit.
    duration revocation_limit_{0};
};

/// How a call was decided.
enum class access_outcome : std::uint8_t
{
    granted,
    rejected, ///< the key is missing, malformed or not in the configuration
    unproven  ///< the configuration may be out of date; retry later
};

/// The decision on one call.
struct access_decision
{
    access_outcome outcome_ = access_outcome::granted;
    char const* cause_ = "";
    /// The workspace of the key; null if the call needs no key.
    workspace_name const* workspace_ = nullptr;
};

/// Decides whether a call may use a queue.
/// @param config_age see `access_limits`
access_decision check_access(fleet_config const& config,
                             queue_route const& route,
                             std::optional<credential> const& key,
                             duration config_age, access_limits const& limits);

} // namespace cuminfold

#endif
