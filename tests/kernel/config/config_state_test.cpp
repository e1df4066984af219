#include "kernel/config/config_state.hpp"

#include "config/merge_files.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

constexpr char const* valid = "pools: {a: {size: 4}}\n";
constexpr char const* invalid = "pools: {a: {size: many}}\n";

record make_change(std::uint64_t writer, std::string author,
                   std::vector<file_edit> edits)
{
    config_change change{std::move(author), std::move(edits)};
    return {{{node_id{"n"}, writer}, 1}, record_version, no_offset, change};
}

file_edit edit(char const* file, char const* text, log_offset expected)
{
    return {file_name{file}, false, text, expected};
}

} // namespace

TEST_CASE("the second of two racing operators learns file, revision and author")
{
    config_state state(&merge_files);
    auto const first =
        make_change(1, "ana", {edit("a.yaml", valid, no_offset)});
    auto const second =
        make_change(2, "rui", {edit("a.yaml", valid, no_offset)});
    state.apply({0, {first}});
    state.apply({1, {second}});
    auto const* outcome = state.outcome(second.id_);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->cause_ == reason::config_conflict);
    REQUIRE(outcome->conflict_details_.size() == 1);
    CHECK(outcome->conflict_details_[0].file_ == file_name{"a.yaml"});
    CHECK(outcome->conflict_details_[0].revision_ == 0);
    CHECK(outcome->conflict_details_[0].author_ == "ana");
    CHECK(state.version() == 0);
}

TEST_CASE("a merge that is not valid is rejected whole")
{
    config_state state(&merge_files);
    state.apply({0, {make_change(1, "a", {edit("a.yaml", valid, no_offset)})}});
    auto const wrong =
        make_change(2, "b",
                    {edit("b.yaml", "pools: {b: {size: 2}}\n", no_offset),
                     edit("a.yaml", invalid, 0)});
    state.apply({1, {wrong}});
    REQUIRE(state.outcome(wrong.id_) != nullptr);
    CHECK(state.outcome(wrong.id_)->cause_ == reason::config_invalid);
    CHECK(state.version() == 0);
    CHECK(state.files().size() == 1);
    CHECK(state.current()->pools_.count(pool_name{"b"}) == 0);
}

TEST_CASE("nothing installs a lower offset")
{
    config_state state(&merge_files);
    state.apply({0, {make_change(1, "a", {edit("a.yaml", valid, no_offset)})}});
    config_data const old = state.data();
    state.apply({1, {make_change(2, "b", {edit("a.yaml", valid, 0)})}});
    CHECK(state.version() == 1);
    CHECK_FALSE(state.restore(old));
    state.apply({0, {make_change(3, "c", {edit("a.yaml", valid, 1)})}});
    CHECK(state.version() == 1);
    CHECK(state.next() == 2);
}

TEST_CASE("a past version is there until it is forgotten")
{
    config_state state(&merge_files);
    for (log_offset at = 0; at < 300; ++at)
    {
        auto const text =
            "pools: {a: {size: " + std::to_string(at + 1) + "}}\n";
        state.apply({at,
                     {make_change(at, "a",
                                  {edit("a.yaml", text.c_str(),
                                        at == 0 ? no_offset : at - 1)})}});
    }
    pool_name const pool{"a"};
    CHECK(state.at(0)->pools_.at(pool).size_ == 1);
    CHECK(state.at(no_offset)->pools_.empty());
    state.forget_before(20);
    CHECK(state.at(20)->pools_.at(pool).size_ == 21);
    CHECK(state.at(19) == nullptr);
    // The last changes are kept, whoever still judges by them.
    state.forget_before(299);
    CHECK(state.at(44)->pools_.at(pool).size_ == 45);
    CHECK(state.at(299)->pools_.at(pool).size_ == 300);
}
