#include "config/duration_text.hpp"
#include "config/merge_files.hpp"
#include "config/settings_file.hpp"
#include "config/utf8.hpp"
#include "property.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

merge_result merge(std::string const& text)
{
    config_files files;
    files[file_name{"a.yaml"}].text_ = text;
    return merge_files(files);
}

/// Exactly one of a state and faults, and faults that name the file.
bool is_typed(merge_result const& result)
{
    if ((result.state_ != nullptr) != result.errors_.empty())
    {
        return false;
    }
    for (auto const& error : result.errors_)
    {
        if (error.file_.empty() || error.what_.empty())
        {
            return false;
        }
    }
    return true;
}

std::string repeat(std::string const& text, int times)
{
    std::string result;
    for (int i = 0; i < times; ++i)
    {
        result += text;
    }
    return result;
}

/// Aliases that would grow to a billion values if they were expanded.
std::string make_alias_bomb()
{
    std::string text = "pools: &a0 {p: {size: 1}}\n";
    for (int i = 1; i < 10; ++i)
    {
        std::string const before = "*a" + std::to_string(i - 1);
        text += "x" + std::to_string(i) + ": &a" + std::to_string(i) + " [" +
                repeat(before + ", ", 9) + before + "]\n";
    }
    return text;
}

std::string const valid = "pools:\n"
                          "  tally: {size: 3, spread: {a: 1, b: 2}}\n"
                          "services:\n"
                          "  quota: {pool: tally, run_time: 20ms}\n"
                          "windows:\n"
                          "  night: {days: [mon], from: \"22:00\"}\n";

} // namespace

TEST_CASE("hostile operators' files give typed errors")
{
    struct row
    {
        char const* name_;
        std::string text_;
    };
    std::vector<row> const rows = {
        {"alias bomb", make_alias_bomb()},
        {"alias to itself", "pools: &a {p: *a}\n"},
        {"deep lists", repeat("[", 20'000)},
        {"deep maps", repeat("{a: ", 20'000)},
        {"deep blocks", repeat("- ", 20'000)},
        {"list at the top", "- pools\n"},
        {"word at the top", "pools\n"},
        {"huge number", "pools: {p: {size: 99999999999999999999999}}\n"},
        {"negative number", "pools: {p: {size: -1}}\n"},
        {"huge time", "pools: {p: {size: 1}}\nservices: {s: {pool: p, "
                      "run_time: 99999999999999999h}}\n"},
        {"key stands twice", "pools: {p: {size: 1, size: 2}}\n"},
        {"name stands twice", "pools: {p: {size: 1}, p: {size: 2}}\n"},
        {"section stands twice", "pools: {p: {size: 1}}\npools: {}\n"},
        {"key that is a list", "pools: {[a, b]: {size: 1}}\n"},
        {"invalid UTF-8", "pools: {p: {size: 1}} # \xc3\x28\n"},
        {"NUL", std::string("pools: {}\0\n", 11)},
        {"unknown alias", "pools: *nobody\n"},
        {"two spreads", "pools: {p: {size: 1, spread: [1]}}\n"},
        {"sum that overflows", "pools: {p: {size: 1, spread: {a: 4294967295, "
                               "b: 2}}}\n"},
        {"name without keys", "pools: {p: {size: 1}}\nbudgets: {p: {}}\n"},
        {"name with a line break", "pools: {\"a\\nb\": {size: 1}}\n"},
        {"large file", repeat("# ", 200'000)},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.name_);
        merge_result const result = merge(row.text_);
        CHECK(is_typed(result));
        CHECK_FALSE(result.errors_.empty());
    }
}

TEST_CASE("any bytes give a state or typed errors")
{
    check_property("any bytes", [](std::string const& text)
                   { RC_ASSERT(is_typed(merge(text))); });
    check_property("a valid file with one byte changed",
                   []
                   {
                       std::string text = valid;
                       auto const at =
                           *rc::gen::inRange<std::size_t>(0, text.size());
                       text[at] = *rc::gen::arbitrary<char>();
                       RC_ASSERT(is_typed(merge(text)));
                   });
    CHECK(merge(valid).state_ != nullptr);
}

TEST_CASE("any bytes as settings give settings or a settings error")
{
    char const* const folder = std::getenv("TMPDIR");
    auto const path =
        std::filesystem::path(folder == nullptr ? "/tmp" : folder) /
        ("cuminfold-settings-" + std::to_string(std::random_device{}()));
    check_property(
        "any bytes",
        [&](std::string const& text)
        {
            std::ofstream(path, std::ios::binary) << text;
            bool typed = true;
            try
            {
                read_settings(path.string(),
                              [](section_reader& in)
                              {
                                  duration value{};
                                  in.read("tick", value);
                              });
            }
            catch (settings_error const& error)
            {
                typed = std::string(error.what()).find(path.string()) == 0;
            }
            RC_ASSERT(typed);
        });
    std::filesystem::remove(path);
}

TEST_CASE("a time that is written reads back")
{
    check_property(
        "times",
        []
        {
            duration const value{*rc::gen::inRange<std::int64_t>(0, 1LL << 50)};
            RC_ASSERT(parse_duration(format_duration(value)) == value);
        });
}

TEST_CASE("UTF-8 is told from other bytes")
{
    struct row
    {
        char const* text_;
        bool good_;
    };
    for (auto const& row :
         {row{"plain", true}, row{"\xc3\xa9", true}, row{"\xe2\x82\xac", true},
          row{"\xf0\x9f\x98\x80", true}, row{"\xc3", false},
          row{"\xc0\xaf", false}, row{"\xe0\x80\xaf", false},
          row{"\xed\xa0\x80", false}, row{"\xf4\x90\x80\x80", false},
          row{"\xff", false}, row{"a\x80", false}})
    {
        CAPTURE(row.text_);
        CHECK(is_utf8(row.text_) == row.good_);
    }
}
