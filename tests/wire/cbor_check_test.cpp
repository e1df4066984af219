#include "wire/cbor_check.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace cuminfold;

TEST_CASE("the structure of CBOR is checked before it is decoded")
{
    struct structure_case
    {
        char const* name_;
        std::string bytes_;
        bool is_good_;
    };
    structure_case const cases[] = {
        {"a number", "\x01", true},
        {"a number of 8 bytes", std::string("\x1b") + std::string(8, 'x'),
         true},
        {"a number that ends early", "\x1bxx", false},
        {"nothing", "", false},
        {"a text", "\x62xy", true},
        {"a text that ends early", "\x63xy", false},
        {"a text that is not UTF-8", "\x62\xff\xfe", false},
        {"bytes that are not UTF-8", "\x42\xff\xfe", true},
        {"a text in parts", "\x7f\x61x\x61y\xff", true},
        {"a text in parts without an end", "\x7f\x61x", false},
        {"a text in parts of texts in parts", "\x7f\x7f\x61x\xff\xff", false},
        {"an empty list", "\x80", true},
        {"a list", "\x82\x01\x02", true},
        {"a list that ends early", "\x82\x01", false},
        {"a list without a length", "\x9f\x01\x80\xff", true},
        {"a map", "\xa1\x61k\x81\x01", true},
        {"a map that ends early", "\xa1\x61k", false},
        {"a map of 2^63 pairs",
         std::string("\xbb\x80") + std::string(7, '\0') + "\x01\x01", false},
        {"a break alone", "\xff", false},
        {"a break in a list with a length", "\x81\xff", false},
        {"a tagged number", "\xc1\x01", true},
        {"a tag alone", "\xc1", false},
        {"a reserved length", "\x1c", false},
        {"lists at the limit", std::string(max_cbor_depth, '\x81') + "\x01",
         true},
        {"lists beyond the limit",
         std::string(max_cbor_depth + 1, '\x81') + "\x01", false},
    };
    for (auto const& each : cases)
    {
        CAPTURE(std::string(each.name_));
        CHECK((find_cbor_fault(each.bytes_) == nullptr) == each.is_good_);
    }
    CHECK(find_cbor_fault("\x62\xff\xfe", text_check::none) == nullptr);
}
