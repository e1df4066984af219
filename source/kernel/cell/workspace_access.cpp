#include "kernel/cell/workspace_access.hpp"

namespace cuminfold
{

access_decision check_access(fleet_config const& config,
                             queue_route const& route,
                             std::optional<credential> const& key,
                             duration config_age, access_limits const& limits)
{
    if (!config.workspaces_ || route.is_public_)
    {
        return {};
    }
    if (!key)
    {
        // The node that took the call did not know yet that calls need keys.
        return {access_outcome::unproven, "key_not_forwarded", nullptr};
    }
    if (key->kind_ != credential_kind::key)
    {
        bool const can_reject = config_age < limits.max_age_to_reject_;
        // A newer configuration may have made the queue public.
        return {can_reject ? access_outcome::rejected
                           : access_outcome::unproven,
                key->kind_ == credential_kind::none ? "key_missing"
                                                    : "key_malformed",
                nullptr};
    }
    auto const& keys = config.workspaces_->keys_;
    auto const found = keys.find(key->digest_);
    if (found == keys.end())
    {
        return {config_age < limits.max_age_to_reject_
                    ? access_outcome::rejected
                    : access_outcome::unproven,
                "key_unknown", nullptr};
    }
    bool const may_be_revoked = limits.revocation_limit_ > duration{0} &&
                                config_age >= limits.revocation_limit_;
    if (may_be_revoked)
    {
        return {access_outcome::unproven, "key_unproven", nullptr};
    }
    return {access_outcome::granted, "", &found->second};
}

} // namespace cuminfold
