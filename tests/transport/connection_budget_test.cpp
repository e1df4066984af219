#include "transport/connection_budget.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t limit = 1000;
constexpr connection_budget::clock::time_point start{100s};

/// Accounts of one budget, and which of them were evicted.
struct small_budget
{
    connection_account& open(connection_use use, std::size_t bytes,
                             connection_budget::clock::time_point since)
    {
        auto const number = accounts_.size();
        accounts_.push_back(std::make_unique<connection_account>(
            budget_, [this, number] { evicted_.push_back(number); }));
        accounts_.back()->set_use(use, since);
        accounts_.back()->hold_regardless(bytes, since);
        return *accounts_.back();
    }

    std::shared_ptr<connection_budget> budget_ =
        std::make_shared<connection_budget>(limit);
    std::vector<std::unique_ptr<connection_account>> accounts_;
    std::vector<std::size_t> evicted_;
};

} // namespace

TEST_CASE("an account changes the budget by what it holds")
{
    small_budget all;
    {
        connection_account account(all.budget_, [] {});
        CHECK(account.hold(600, start));
        CHECK(all.budget_->used() == 600);
        CHECK(account.hold(limit, start));
        CHECK(!account.hold(limit + 1, start));
        CHECK(account.bytes() == limit);
        CHECK(account.hold(10, start));
        CHECK(all.budget_->used() == 10);
    }
    CHECK(all.budget_->used() == 0);
}

TEST_CASE("an account without a budget permits all")
{
    connection_account account(nullptr, [] { FAIL("evicted"); });
    CHECK(account.hold(limit * limit, start));
    account.close();
    CHECK(account.hold(1, start));
}

TEST_CASE("a closed account gives its bytes back and permits nothing")
{
    small_budget all;
    auto& account = all.open(connection_use::incomplete_request, 500, start);
    account.close();
    account.close();
    CHECK(all.budget_->used() == 0);
    CHECK(!account.hold(1, start));
    account.hold_regardless(1, start);
    CHECK(all.budget_->used() == 0);
}

// Guards against a crowd that keeps ordinary callers out, and against the end
// of a request that may have had an effect.
TEST_CASE("who is evicted when the budget is exhausted")
{
    struct holder
    {
        connection_use use_;
        std::size_t bytes_;
        std::chrono::milliseconds age_;
    };
    struct row
    {
        char const* name_;
        std::vector<holder> holders_;
        holder who_;
        std::size_t wanted_;
        bool permitted_;
        std::vector<std::size_t> evicted_;
    };
    auto const idle = connection_use::idle;
    auto const incomplete = connection_use::incomplete_request;
    auto const request = connection_use::request;
    auto const unread = connection_use::unread_response;
    std::vector<row> const rows = {
        {"enough is left",
         {{incomplete, 500, 9s}},
         {incomplete, 100, 1ms},
         500,
         true,
         {}},
        {"the older of two equal ones",
         {{incomplete, 450, 1s}, {incomplete, 450, 2s}},
         {incomplete, 100, 1ms},
         200,
         true,
         {1}},
        {"the larger of two as old",
         {{incomplete, 300, 1s}, {incomplete, 600, 1s}},
         {incomplete, 100, 1ms},
         200,
         true,
         {1}},
        {"as many as are needed",
         {{incomplete, 300, 3s}, {incomplete, 300, 2s}, {incomplete, 300, 1s}},
         {incomplete, 100, 1ms},
         600,
         true,
         {0, 1}},
        {"itself if it costs the most",
         {{incomplete, 500, 1s}},
         {incomplete, 500, 2s},
         600,
         false,
         {}},
        {"a response that is not read",
         {{idle, 500, 4s}, {unread, 400, 1s}},
         {incomplete, 100, 1ms},
         200,
         true,
         {1}},
        {"an incomplete request before an idle connection",
         {{idle, 450, 5s}, {incomplete, 450, 1s}},
         {incomplete, 100, 1ms},
         200,
         true,
         {1}},
        {"an idle connection before a fresh request",
         {{idle, 900, 1s}},
         {incomplete, 100, 1ms},
         200,
         true,
         {0}},
        {"no request that is being executed",
         {{request, 900, 9s}},
         {incomplete, 100, 1ms},
         200,
         false,
         {}},
        {"others for a request that is being executed",
         {{incomplete, 900, 1ms}},
         {request, 100, 9s},
         200,
         true,
         {0}},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        small_budget all;
        for (auto const& one : each.holders_)
        {
            all.open(one.use_, one.bytes_, start - one.age_);
        }
        auto& who =
            all.open(each.who_.use_, each.who_.bytes_, start - each.who_.age_);
        CHECK(who.hold(each.wanted_, start) == each.permitted_);
        CHECK(all.evicted_ == each.evicted_);
        CHECK(all.budget_->used() <= limit);
        CHECK(who.bytes() ==
              (each.permitted_ ? each.wanted_ : each.who_.bytes_));
    }
}

TEST_CASE("bytes that exist already are counted beyond the budget")
{
    small_budget all;
    all.open(connection_use::request, 900, start);
    auto& who = all.open(connection_use::unread_response, 50, start);
    who.hold_regardless(300, start + 1s);
    CHECK(all.budget_->used() == 1200);
    CHECK(all.evicted_.empty());
}
