#include "wire/record_codec.hpp"

#include "property.hpp"
#include "wire/decode_error.hpp"
#include "wire/message_codec.hpp"

#include <doctest/doctest.h>

#include <string>
#include <variant>

using namespace cuminfold;

namespace
{

record make_record()
{
    return {{{node_id{"n"}, 7}, 3},
            record_version,
            12,
            vm_added{vm_id{"vm-1"}, "127.0.0.1:9", data_centre_name{"dc"},
                     rack_name{"r"}, vm_shape{16, 65536, 2, 8, 64}}};
}

} // namespace

TEST_CASE("records come back as they were")
{
    auto const back = decode_records(encode_records({make_record()}));
    REQUIRE(back.size() == 1);
    CHECK(back[0].id_ == make_record().id_);
    CHECK(back[0].config_offset_ == 12);
    auto const* body = std::get_if<vm_added>(&back[0].body_);
    REQUIRE(body != nullptr);
    CHECK(body->vm_ == vm_id{"vm-1"});
    CHECK(body->shape_ == vm_shape{16, 65536, 2, 8, 64});
}

TEST_CASE("a newer version becomes an unknown body")
{
    record newer = make_record();
    newer.version_ = record_version + 1;
    auto const back = decode_records(encode_records({newer}));
    REQUIRE(back.size() == 1);
    auto const* body = std::get_if<unknown_body>(&back[0].body_);
    REQUIRE(body != nullptr);
    CHECK(body->kind_ == "vm_added");
}

TEST_CASE("bytes that are not ours are a typed error")
{
    check_property("any bytes decode or throw decode_error",
                   [](std::string const& bytes)
                   {
                       try
                       {
                           decode_records(bytes);
                       }
                       catch (decode_error const&)
                       {
                       }
                       try
                       {
                           decode_message(bytes);
                       }
                       catch (decode_error const&)
                       {
                       }
                   });
}
