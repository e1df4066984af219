#include "cli/folder_edits.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

using namespace cuminfold;

namespace
{

config_files files_of(std::string const& text, log_offset revision)
{
    config_files files;
    if (!text.empty())
    {
        files[file_name{"a.yaml"}] = {text, revision, ""};
    }
    return files;
}

} // namespace

TEST_CASE("a folder edits only the revisions that it has read")
{
    struct row
    {
        char const* name_;
        char const* wanted_;   ///< empty: no such file
        char const* in_force_; ///< empty: no such file, else at revision 5
        log_offset read_;      ///< `no_offset`: never read
        bool overwrite_;
        std::size_t edits_;
        std::size_t conflicts_;
    };
    row const rows[] = {
        {"new file", "x", "", no_offset, false, 1, 0},
        {"equal file", "x", "x", no_offset, false, 0, 0},
        {"equal file of an old revision", "x", "x", 3, false, 0, 0},
        {"edit", "y", "x", 5, false, 1, 0},
        {"edit of an older revision", "y", "x", 3, false, 0, 1},
        {"edit of an unread file", "y", "x", no_offset, false, 0, 1},
        {"edit of a removed file", "y", "", 3, false, 0, 1},
        {"removal", "", "x", 5, false, 1, 0},
        {"removal of an older revision", "", "x", 3, false, 0, 1},
        {"a file of others", "", "x", no_offset, false, 0, 1},
        {"overwrite", "y", "x", 3, true, 1, 0},
        {"overwrite with a removal", "", "x", no_offset, true, 1, 0},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.name_);
        folder_revisions read;
        if (row.read_ != no_offset)
        {
            read[file_name{"a.yaml"}] = row.read_;
        }
        auto const result =
            compare_folder(files_of(row.wanted_, no_offset),
                           files_of(row.in_force_, 5), read, row.overwrite_);
        CHECK(result.edits_.size() == row.edits_);
        CHECK(result.conflicts_.size() == row.conflicts_);
        for (auto const& edit : result.edits_)
        {
            CHECK(edit.expected_revision_ ==
                  (*row.in_force_ == '\0' ? no_offset : 5));
            CHECK(edit.removed_ == (*row.wanted_ == '\0'));
        }
    }
}
