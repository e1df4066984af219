#include "wire/record_codec.hpp"

#include "wire/cbor_check.hpp"
#include "wire/json_codec.hpp"

#include <array>
#include <map>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace detail
{

namespace
{

using body_decoder = record_body (*)(json const&);

template <class T>
record_body decode_body(json const& from)
{
    T body;
    detail::decode(from, body);
    return body;
}

template <class... T>
std::map<std::string, body_decoder>
make_body_decoders(std::variant<T...> const*)
{
    std::map<std::string, body_decoder> table;
    auto const add = [&](auto const* tag)
    {
        using body = std::remove_cv_t<std::remove_pointer_t<decltype(tag)>>;
        if constexpr (!std::is_same<body, unknown_body>::value)
        {
            table[kind_name<body>::value] = &decode_body<body>;
        }
    };
    (add(static_cast<T const*>(nullptr)), ...);
    return table;
}

std::map<std::string, body_decoder> const& body_decoders()
{
    static auto const table =
        make_body_decoders(static_cast<record_body const*>(nullptr));
    return table;
}

json encode_body(record_body const& body, std::string& kind)
{
    return std::visit(
        [&](auto const& value) -> json
        {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same<type, unknown_body>::value)
            {
                kind = value.kind_;
                return json::object();
            }
            else
            {
                kind = kind_name<type>::value;
                return detail::encode(value);
            }
        },
        body);
}

json const& member(json const& from, char const* name)
{
    auto const found = from.find(name);
    if (found == from.end())
    {
        throw decode_error(std::string(name) + ": missing");
    }
    return *found;
}

} // namespace

json codec<record>::encode(record const& value)
{
    std::string kind;
    json body = encode_body(value.body_, kind);
    return json{{"id", detail::encode(value.id_)},
                {"version", value.version_},
                {"config", value.config_offset_},
                {"kind", kind},
                {"body", std::move(body)}};
}

void codec<record>::decode(json const& from, record& value)
{
    if (!from.is_object() || !member(from, "kind").is_string())
    {
        throw decode_error("not a record");
    }
    detail::decode(member(from, "id"), value.id_);
    detail::decode(member(from, "version"), value.version_);
    detail::decode(member(from, "config"), value.config_offset_);
    auto const kind = member(from, "kind").get<std::string>();
    auto const found = body_decoders().find(kind);
    if (value.version_ != record_version || found == body_decoders().end())
    {
        value.body_ = unknown_body{kind, value.version_};
        return;
    }
    value.body_ = found->second(member(from, "body"));
}

json parse_cbor(std::string const& bytes)
{
    if (auto const* const fault = find_cbor_fault(bytes))
    {
        throw decode_error(std::string("not CBOR: ") + fault);
    }
    // A claimed size beyond all bounds throws even where exceptions are off.
    try
    {
        return json::from_cbor(bytes);
    }
    catch (json::exception const& error)
    {
        throw decode_error(std::string("not CBOR: ") + error.what());
    }
}

std::string write_cbor(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

} // namespace detail

std::string encode_records(std::vector<record> const& records)
{
    return detail::write_cbor(detail::encode(records));
}

std::vector<record> decode_records(std::string const& bytes)
{
    std::vector<record> records;
    detail::decode(detail::parse_cbor(bytes), records);
    return records;
}

} // namespace cuminfold
