#include "config/merge_files.hpp"
#include "config/section_reader.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

struct bad_file
{
    char const* text_;
    char const* error_;
};

merge_result merge(std::vector<std::pair<char const*, char const*>> files)
{
    config_files in;
    for (auto const& item : files)
    {
        in[file_name{item.first}].text_ = item.second;
    }
    return merge_files(in);
}

} // namespace

TEST_CASE("later files replace values key by key")
{
    auto const merged =
        merge({{"10.yaml", "pools: {a: {size: 3, spare: true}}"},
               {"20.yaml", "pools: {a: {size: 5}}"}});
    REQUIRE(merged.errors_.empty());
    auto const& pool = merged.state_->pools_.at(pool_name{"a"});
    CHECK(pool.size_ == 5);
    CHECK(pool.spare_);
    CHECK(merged.state_->provenance_.at("pools.a.size") ==
          file_name{"20.yaml"});
    CHECK(merged.state_->provenance_.at("pools.a.spare") ==
          file_name{"10.yaml"});
}

TEST_CASE("faults name file, line and key")
{
    std::vector<bad_file> const cases = {
        {"pools:\n  a:\n    sise: 3\n",
         "f.yaml:3: pools.a.sise: unknown key; known: size, spare, spread"},
        {"pools:\n  a:\n    size: many\n",
         "f.yaml:3: pools.a.size: expected a whole number, not 'many'"},
        {"services:\n  s:\n    pool: p\n",
         "f.yaml:3: services.s.pool: no pool 'p'"},
        {"pools: {p: {size: 1}}\nservices:\n  s:\n    pool: p\n"
         "    deadline: 5\n",
         "f.yaml:5: services.s.deadline: missing unit: write 5ms, 5s or "
         "5min"},
        {"pools: {p: {size: 1}}\nbudgets:\n  p:\n    need: 2\n",
         "f.yaml:4: budgets.p.need: more than the pool's size 1"},
        {"poools: {}\n", "f.yaml:1: poools: unknown key; known: budgets, "
                         "pools, services, teams, waves, windows"},
    };
    for (auto const& each : cases)
    {
        CAPTURE(each.text_);
        auto const merged = merge({{"f.yaml", each.text_}});
        REQUIRE(merged.errors_.size() == 1);
        CHECK(format_error(merged.errors_.front()) == each.error_);
        CHECK(merged.state_ == nullptr);
    }
}
