#include "property.hpp"
#include "wire/decode_error.hpp"
#include "wire/message_codec.hpp"
#include "wire/record_codec.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfold;

namespace
{

/// Places and the bytes that they are changed to.
using changes = std::vector<std::pair<std::uint16_t, char>>;

std::string valid_records()
{
    record first;
    first.id_ = {{node_id{"n"}, 7}, 3};
    first.version_ = record_version;
    first.body_ = vm_added{vm_id{"vm-1"}, "127.0.0.1:9", data_centre_name{"dc"},
                           rack_name{"r"}, vm_shape{16, 65536, 2, 8, 64}};
    record second = first;
    second.id_.sequence_ = 4;
    second.body_ = gateway_registered{data_centre_name{"dc"}, "127.0.0.1:10"};
    return encode_records({first, second});
}

std::string valid_message()
{
    relayed_append append;
    append.ticket_ = 5;
    append.append_.stream_ = stream_name{"fleet"};
    append.append_.records_ = decode_records(valid_records());
    return encode_message(message{append});
}

std::string mutate(std::string bytes, changes const& made, std::uint16_t cut)
{
    for (auto const& each : made)
    {
        bytes[each.first % bytes.size()] = each.second;
    }
    bool const shorten = cut % 4 == 0;
    return shorten ? bytes.substr(0, cut % bytes.size()) : bytes;
}

template <class Decode>
void check_decoder(std::string const& what, std::string const& valid,
                   Decode decode)
{
    check_property(what,
                   [&](changes const& made, std::uint16_t cut)
                   {
                       std::string const bytes = mutate(valid, made, cut);
                       try
                       {
                           decode(bytes);
                       }
                       catch (decode_error const&)
                       {
                           // Refused; any other exception fails the case.
                       }
                   });
}

} // namespace

TEST_CASE("changed records decode or are refused by a typed error")
{
    check_decoder("records", valid_records(),
                  [](std::string const& bytes) { decode_records(bytes); });
}

TEST_CASE("changed messages decode or are refused by a typed error")
{
    check_decoder("messages", valid_message(),
                  [](std::string const& bytes) { decode_message(bytes); });
}

// Guards against a decoder that recurses for each level until the stack ends.
TEST_CASE("bytes that are nested without an end are refused")
{
    constexpr std::size_t levels = 1'000'000;
    for (char const head : {'\x81', '\x9f', '\xa1', '\x7f'})
    {
        std::string const bytes(levels, head);
        CHECK_THROWS_AS(decode_records(bytes), decode_error);
        CHECK_THROWS_AS(decode_message(bytes), decode_error);
    }
}

TEST_CASE("a length that the bytes do not hold takes no memory")
{
    // CBOR array, map, text and bytes that claim 2^32 items and more.
    for (char const* const head : {"\x9b", "\xbb", "\x7b", "\x5b"})
    {
        std::string const bytes =
            head + std::string("\x00\x00\x00\xff\xff\xff\xff\xff", 8);
        CHECK_THROWS_AS(decode_records(bytes), decode_error);
        CHECK_THROWS_AS(decode_message(bytes), decode_error);
    }
}
