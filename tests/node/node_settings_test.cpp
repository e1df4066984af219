#include "node/node_settings.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

using namespace cuminfold;

// Guards against a sum of jobs, process and connections above the memory of
// the node's VM.
TEST_CASE("connections get half of what jobs and the process leave")
{
    struct row
    {
        std::uint32_t memory_mb_;
        std::uint32_t process_mb_;
        std::uint32_t connection_mb_;
        std::size_t result_mb_;
    };
    row const rows[] = {
        {160, 24, 0, 28}, {256, 24, 0, 52}, {512, 24, 0, 116}, {64, 24, 0, 4},
        {32, 24, 0, 4},   {160, 90, 0, 4},  {160, 24, 10, 10}, {16, 24, 1, 1},
    };
    for (auto const& each : rows)
    {
        CAPTURE(each.memory_mb_);
        node_settings settings;
        settings.memory_mb_ = each.memory_mb_;
        settings.process_memory_mb_ = each.process_mb_;
        settings.connection_memory_mb_ = each.connection_mb_;
        CHECK(settings.connection_bytes() == each.result_mb_ * 1024 * 1024);
    }
}
