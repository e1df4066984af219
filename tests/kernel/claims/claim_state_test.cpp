#include "kernel/claims/claim_state.hpp"

#include <doctest/doctest.h>

#include <utility>

using namespace cuminfold;

namespace
{

incarnation const one{node_id{"one"}, 1};
incarnation const two{node_id{"two"}, 1};
claim_key const key{"s/k"};

struct fixture
{
    void write(incarnation const& writer, record_body body)
    {
        record item{
            {writer, ++sequence_}, record_version, no_offset, std::move(body)};
        state_.apply({state_.next(), {std::move(item)}});
    }

    claim_state state_;
    std::uint64_t sequence_ = 0;
};

} // namespace

TEST_CASE("the first claim holds, and only its writer's word counts")
{
    fixture f;
    f.write(one, claim_opened{key, 1, request_id{"r1"}});
    f.write(two, claim_opened{key, 1, request_id{"r2"}});
    REQUIRE(f.state_.find(key) != nullptr);
    CHECK(f.state_.find(key)->opened_.writer_ == one);
    CHECK(f.state_.ignored(reason::claim_taken) == 1);
    f.write(two, claim_abandoned{key});
    f.write(two, claim_answered{key, 200, "", true, "x"});
    CHECK(f.state_.find(key)->phase_ == claim_phase::open);
    f.write(one, claim_abandoned{key});
    CHECK(f.state_.find(key) == nullptr);
    f.write(two, claim_opened{key, 1, request_id{"r3"}});
    CHECK(f.state_.find(key)->opened_.writer_ == two);
}

TEST_CASE("an answer settles an unknown outcome, nothing unsettles an answer")
{
    fixture f;
    f.write(one, claim_opened{key, 1, request_id{"r"}});
    f.write(two, claim_unknown{key, two, reason::claimant_lost});
    CHECK(f.state_.find(key)->phase_ == claim_phase::open);
    f.write(two, claim_unknown{key, one, reason::claimant_lost});
    CHECK(f.state_.find(key)->phase_ == claim_phase::unknown);
    f.write(one, claim_abandoned{key});
    CHECK(f.state_.find(key)->phase_ == claim_phase::unknown);
    f.write(one, claim_answered{key, 200, "t", true, "x"});
    CHECK(f.state_.find(key)->phase_ == claim_phase::answered);
    f.write(one, claim_unknown{key, one, reason::worker_lost});
    f.write(one, claim_abandoned{key});
    CHECK(f.state_.find(key)->phase_ == claim_phase::answered);
    CHECK(f.state_.find(key)->answer_ == "x");
}

TEST_CASE("a repeat of a record folds to nothing")
{
    fixture f;
    record const opened{{one, 1},
                        record_version,
                        no_offset,
                        claim_opened{key, 1, request_id{"r"}}};
    record const abandoned{
        {one, 2}, record_version, no_offset, claim_abandoned{key}};
    f.state_.apply({0, {opened, abandoned}});
    f.state_.apply({1, {opened}});
    CHECK(f.state_.find(key) == nullptr);
    CHECK(f.state_.ignored(reason::record_duplicate) == 1);
}

TEST_CASE("claims up to an offset are forgotten, and a snapshot agrees")
{
    fixture f;
    f.write(one, claim_opened{key, 1, request_id{"r"}});
    f.write(one, claim_opened{claim_key{"s/l"}, 1, request_id{"q"}});
    claim_state restored;
    REQUIRE(restored.restore(f.state_.data()));
    record const forget{
        {two, 9}, record_version, no_offset, claims_forgotten{0}};
    f.state_.apply({2, {forget}});
    restored.apply({2, {forget}});
    for (auto const* state : {&f.state_, &restored})
    {
        CHECK(state->find(key) == nullptr);
        CHECK(state->find(claim_key{"s/l"}) != nullptr);
    }
    CHECK_FALSE(restored.restore(claim_data{}));
}
