#include "config/folder_revisions.hpp"
#include "config/operators_folder.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>

using namespace cuminfold;

TEST_CASE("revisions read back as they were written")
{
    namespace fs = std::filesystem;
    char const* const parent = std::getenv("TMPDIR");
    auto const folder =
        fs::path(parent == nullptr ? "/tmp" : parent) /
        ("cuminfold-revisions-" + std::to_string(std::random_device{}()));
    fs::create_directory(folder);
    CHECK(read_revisions(folder.string()).empty());
    folder_revisions const revisions = {{file_name{"10-a.yaml"}, 0},
                                        {file_name{"a b.yaml"}, 12}};
    write_revisions(folder.string(), revisions);
    CHECK(read_revisions(folder.string()) == revisions);
    for (char const* text : {"x\n", "1\n", "1 \n", " 1 a\n", "-1 a\n", "\n"})
    {
        CAPTURE(text);
        std::ofstream(folder / ".cuminfold-revisions") << text;
        CHECK_THROWS_AS(read_revisions(folder.string()), folder_error);
    }
    CHECK_THROWS_AS(write_revisions((folder / "missing").string(), revisions),
                    folder_error);
    fs::remove_all(folder);
}
