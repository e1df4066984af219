#include "platform/body_codec.hpp"
#include "platform/client_format.hpp"
#include "platform/config_format.hpp"
#include "platform/key_digest.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;
using namespace cuminfold::platform;

namespace
{

struct header_row
{
    std::string header_;
    credential_kind kind_;
};

fleet_config read(nlohmann::json const& workspaces, std::size_t& skipped)
{
    return read_config(write_body({{"version", 3}, {"tenants", workspaces}}),
                       skipped);
}

} // namespace

// Guards against a key that is read from a header of another form.
TEST_CASE("keys are read from bearer headers alone")
{
    header_row const rows[] = {
        {"", credential_kind::none},
        {"Bearer k", credential_kind::key},
        {"bEARER k", credential_kind::key},
        {"Bearer " + std::string(256, 'k'), credential_kind::key},
        {"Bearer " + std::string(257, 'k'), credential_kind::malformed},
        {"Bearer ", credential_kind::malformed},
        {"Bearerk", credential_kind::malformed},
        {"Bearer a b", credential_kind::malformed},
        {"Bearer a\x01", credential_kind::malformed},
        {"Bearer \xff", credential_kind::malformed},
        {"Basic a", credential_kind::malformed},
        {"k", credential_kind::malformed},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.header_);
        http_request request;
        request.method_ = "GET";
        request.fields_["authorization"] = row.header_;
        CHECK(read_client_call(request).credential_->kind_ == row.kind_);
    }
    CHECK(read_credential("Bearer a").digest_ == digest_of("a"));
    CHECK(digest_of("a") != digest_of("b"));
    // The first 16 bytes of SHA-256 of "abc".
    CHECK(digest_of("abc").text() == "ba7816bf8f01cfea414140de5dae2223");
}

// Guards against one odd entry that makes the others' keys unknown.
TEST_CASE("a workspace that cannot be read is left out alone")
{
    nlohmann::json const good = {
        {"name", "good"},
        {"api_keys", {"a", "b"}},
        {"weight", 7},
        {"max_count", {{"cpu", 100}, {"mem_mb", 200}, {"gpu", 3}}}};
    nlohmann::json const odd[] = {
        7,
        {{"api_keys", {"c"}}},
        {{"name", ""}, {"api_keys", {"c"}}},
        {{"name", 1}, {"api_keys", {"c"}}},
        {{"name", "odd"}, {"api_keys", "c"}},
        {{"name", "odd"}, {"api_keys", {"c", 7}}},
        {{"name", "odd"}, {"api_keys", {""}}},
        {{"name", "odd"}, {"api_keys", {"c"}}, {"weight", "x"}},
        {{"name", "odd"}, {"api_keys", {"c"}}, {"max_count", 7}},
        {{"name", "odd"}, {"api_keys", {"c"}}, {"max_count", {{"cpu", -1}}}},
        {{"name", "good"}, {"api_keys", {"c"}}},
    };
    for (auto const& entry : odd)
    {
        CAPTURE(entry.dump());
        std::size_t skipped = 0;
        auto const config = read({good, entry}, skipped);
        CHECK(skipped == 1);
        REQUIRE(config.workspaces_ != nullptr);
        CHECK(config.workspaces_->workspaces_.size() == 1);
        CHECK(config.workspaces_->keys_.size() == 2);
        auto const& policy =
            config.workspaces_->workspaces_.at(workspace_name{"good"});
        CHECK(policy.weight_ == 7);
        CHECK(policy.limit_ == resource_amount{100, 200, 3});
    }
}

TEST_CASE("a key of two workspaces stays with the first")
{
    std::size_t skipped = 0;
    auto const config = read({{{"name", "first"}, {"api_keys", {"a"}}},
                              {{"name", "second"}, {"api_keys", {"a"}}}},
                             skipped);
    CHECK(config.workspaces_->keys_.at(digest_of("a")) ==
          workspace_name{"first"});
}

TEST_CASE("a configuration has workspaces if it says so")
{
    std::size_t skipped = 0;
    CHECK(read_config(write_body({{"version", 3}}), skipped).workspaces_ ==
          nullptr);
    CHECK(read(nlohmann::json::array(), skipped).workspaces_ != nullptr);
    CHECK(skipped == 0);
}
