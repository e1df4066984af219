#include "kernel/cell/workspace_access.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

fleet_config make_config()
{
    fleet_config config;
    config.version_ = 1;
    workspace_directory directory;
    directory.workspaces_[workspace_name{"a"}] = {workspace_name{"a"}, {}, 1};
    directory.keys_[key_digest{"digest of a"}] = workspace_name{"a"};
    config.workspaces_ =
        std::make_shared<workspace_directory const>(std::move(directory));
    return config;
}

std::optional<credential> key(char const* digest)
{
    return credential{credential_kind::key, key_digest{digest}};
}

struct access_row
{
    char const* name_;
    std::optional<credential> key_;
    std::chrono::milliseconds config_age_;
    std::chrono::milliseconds revocation_limit_;
    access_outcome outcome_;
    char const* cause_;
};

} // namespace

// Guards against calls that run by a key that was revoked or never existed, and
// against a key that is rejected by a configuration older than the key.
TEST_CASE("a key is judged by a configuration that is young enough")
{
    access_row const rows[] = {
        {"a known key", key("digest of a"), 0ms, 5000ms,
         access_outcome::granted, ""},
        {"a known key just within the limit", key("digest of a"), 4999ms,
         5000ms, access_outcome::granted, ""},
        {"a known key that may be revoked", key("digest of a"), 5000ms, 5000ms,
         access_outcome::unproven, "key_unproven"},
        {"a known key without a limit on revocation", key("digest of a"),
         60'000ms, 0ms, access_outcome::granted, ""},
        {"an unknown key", key("digest of b"), 1499ms, 5000ms,
         access_outcome::rejected, "key_unknown"},
        {"an unknown key that may be new", key("digest of b"), 1500ms, 5000ms,
         access_outcome::unproven, "key_unknown"},
        {"no key", credential{credential_kind::none, {}}, 0ms, 5000ms,
         access_outcome::rejected, "key_missing"},
        {"no key at a queue that may be public now",
         credential{credential_kind::none, {}}, 2000ms, 5000ms,
         access_outcome::unproven, "key_missing"},
        {"another scheme", credential{credential_kind::malformed, {}}, 0ms,
         5000ms, access_outcome::rejected, "key_malformed"},
        {"a node that forwards no keys yet", std::nullopt, 0ms, 5000ms,
         access_outcome::unproven, "key_not_forwarded"},
    };
    auto const config = make_config();
    queue_route route;
    for (auto const& row : rows)
    {
        CAPTURE(std::string(row.name_));
        access_limits limits;
        limits.revocation_limit_ = row.revocation_limit_;
        auto const decision =
            check_access(config, route, row.key_, row.config_age_, limits);
        CHECK(decision.outcome_ == row.outcome_);
        CHECK(std::string(decision.cause_) == row.cause_);
        bool const has_workspace = decision.workspace_ != nullptr;
        CHECK(has_workspace == (row.outcome_ == access_outcome::granted));
    }
}

TEST_CASE("public queues and deployments without workspaces need no key")
{
    auto config = make_config();
    queue_route route;
    route.is_public_ = true;
    auto const granted = [&]
    {
        return check_access(config, route, key("digest of b"), 60'000ms, {})
                   .outcome_ == access_outcome::granted;
    };
    CHECK(granted());
    route.is_public_ = false;
    CHECK_FALSE(granted());
    config.workspaces_ = nullptr;
    CHECK(granted());
}
