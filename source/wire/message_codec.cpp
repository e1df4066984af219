#include "wire/message_codec.hpp"

#include "wire/json_codec.hpp"

#include <map>
#include <type_traits>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

using detail::json;
using body_decoder = message_body (*)(json const&);

template <class T>
message_body decode_body(json const& from)
{
    T body;
    detail::decode(from, body);
    return body;
}

template <class... T>
std::map<std::string, body_decoder>
make_body_decoders(std::variant<T...> const*)
{
    return {{detail::kind_name<T>::value, &decode_body<T>}...};
}

} // namespace

std::string encode_message(message const& value)
{
    json result = json::object();
    result["version"] = message_version;
    std::visit(
        [&](auto const& body)
        {
            using type = std::decay_t<decltype(body)>;
            result["kind"] = detail::kind_name<type>::value;
            result["body"] = detail::encode(body);
        },
        value.body_);
    return detail::write_cbor(result);
}

message decode_message(std::string const& bytes)
{
    static auto const decoders =
        make_body_decoders(static_cast<message_body const*>(nullptr));
    if (bytes.size() > message_size_limit)
    {
        throw decode_error("frame over the size limit");
    }
    json const from = detail::parse_cbor(bytes);
    if (!from.is_object() || from.size() != 3 || !from.contains("version") ||
        !from.contains("kind") || !from.contains("body") ||
        !from["kind"].is_string())
    {
        throw decode_error("not a message");
    }
    std::uint32_t version = 0;
    detail::decode(from["version"], version);
    if (version != message_version)
    {
        throw decode_error("version: " + std::to_string(version) +
                           " is not spoken here");
    }
    auto const kind = from["kind"].get<std::string>();
    auto const found = decoders.find(kind);
    if (found == decoders.end())
    {
        throw decode_error("kind: unknown: " + kind);
    }
    return message{found->second(from["body"])};
}

} // namespace cuminfold
