#include "kernel/cell/vm_order_record.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;

TEST_CASE("a record of a VM's orders is read back as it was written")
{
    vm_order_record const records[] = {
        {},
        {true, 0, {}},
        {true, 7, {}},
        {true, 7, {7}},
        {true, 0, {2, 7}},
        {false, 0, {1, 3}},
    };
    for (auto const& record : records)
    {
        auto const text = encode(record);
        CAPTURE(text);
        if (text.empty())
        {
            CHECK(!record.pending_);
            continue;
        }
        auto const decoded = decode_vm_order_record(text);
        CHECK(decoded.pending_ == record.pending_);
        CHECK(decoded.wave_ == record.wave_);
        CHECK(decoded.maintained_ == record.maintained_);
    }
}

TEST_CASE("a text without a known line may be an order of any wave")
{
    for (auto const* const text : {"1", "", "maintain", "\xff\x00moved 4\n"})
    {
        CAPTURE(text);
        auto const decoded = decode_vm_order_record(text);
        CHECK(decoded.pending_);
        CHECK(decoded.wave_ == any_wave);
        CHECK(decoded.maintained_.empty());
    }
}
