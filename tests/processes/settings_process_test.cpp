#include "child_process.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

using namespace cuminfold;

TEST_CASE("bad settings end a program with status 2 and a line for each fault")
{
    struct row
    {
        char const* program_;
        char const* text_;
        std::vector<std::string> faults_;
    };
    std::vector<row> const rows = {
        {CUMINFOLD_GATEWAY,
         "name: g\ndata_centre: dc\ncontrollers: []\ntick: 5\nbogus: 1\n",
         {":4: tick: missing unit", ":5: bogus: unknown key"}},
        {CUMINFOLD_PLATFORM, "kept_entries: 0\n", {":1: kept_entries: "}},
        {CUMINFOLD_WORKER, "platform: x\nrun_time: many\n", {":2: run_time: "}},
    };
    auto const folder = std::filesystem::temp_directory_path() /
                        ("cuminfold-settings." + std::to_string(getpid()));
    std::filesystem::create_directory(folder);
    std::string const file = (folder / "bad.yaml").string();
    for (auto const& item : rows)
    {
        CAPTURE(std::string(item.program_));
        std::ofstream(file) << item.text_;
        child_process program(item.program_, {"--config", file},
                              (folder / "errors").string());
        CHECK(program.wait() == 2);
        for (auto const& fault : item.faults_)
        {
            CAPTURE(program.errors());
            CHECK(program.errors().find(file + fault) != std::string::npos);
        }
    }
    std::filesystem::remove_all(folder);
}
