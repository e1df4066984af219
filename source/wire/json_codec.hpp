#ifndef CUMINFOLD_WIRE_JSON_CODEC_HPP
#define CUMINFOLD_WIRE_JSON_CODEC_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"
#include "wire/decode_error.hpp"
#include "wire/fields.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// Structs to JSON values and back, by their field lists. Decoding is strict:
/// a missing or unknown field, a wrong type and a value out of range are each
/// a `decode_error` that names the field. Only an optional field may be absent.

namespace cuminfold
{

namespace detail
{

using json = nlohmann::json;

template <class T, class = void>
struct codec;

/// The type of what a pointer or an optional holds.
template <class P>
using bare_type = std::remove_cv_t<
    std::remove_reference_t<decltype(*std::declval<P const&>())>>;

/// Field visitor that builds a map.
struct encoder
{
    template <class T>
    void operator()(char const* name, T& member)
    {
        result_[name] = codec<T>::encode(member);
    }

    /// A field that is written only if it has a value.
    template <class P>
    void optional(char const* name, P& member)
    {
        if (member)
        {
            result_[name] = codec<bare_type<P>>::encode(*member);
        }
    }

    json result_ = json::object();
};

/// Field visitor that reads a map and counts what it read.
struct decoder
{
    template <class T>
    void operator()(char const* name, T& member)
    {
        auto const found = from_.find(name);
        if (found == from_.end())
        {
            throw decode_error(std::string(name) + ": missing");
        }
        try
        {
            codec<T>::decode(*found, member);
        }
        catch (decode_error const& error)
        {
            throw decode_error(std::string(name) + ": " + error.what());
        }
        ++count_;
    }

    template <class T>
    void optional(char const* name, std::optional<T>& member)
    {
        member.reset();
        if (from_.contains(name))
        {
            (*this)(name, member.emplace());
        }
    }

    template <class T>
    void optional(char const* name, std::shared_ptr<T const>& member)
    {
        member.reset();
        if (from_.contains(name))
        {
            auto value = std::make_shared<T>();
            (*this)(name, *value);
            member = std::move(value);
        }
    }

    json const& from_;
    std::size_t count_ = 0;
};

/// How one type is encoded and decoded; structs go by their field list.
template <class T, class>
struct codec
{
    static json encode(T const& value)
    {
        encoder visit;
        // The field list serves both directions; the encoder only reads.
        fields(visit, const_cast<T&>(value));
        return std::move(visit.result_);
    }
    static void decode(json const& from, T& value)
    {
        if (!from.is_object())
        {
            throw decode_error("not a map");
        }
        decoder visit{from};
        fields(visit, value);
        if (visit.count_ != from.size())
        {
            throw decode_error("unknown field");
        }
    }
};

template <class T>
json encode(T const& value)
{
    return codec<T>::encode(value);
}

template <class T>
void decode(json const& from, T& value)
{
    codec<T>::decode(from, value);
}

template <>
struct codec<bool>
{
    static json encode(bool value)
    {
        return value;
    }
    static void decode(json const& from, bool& value)
    {
        if (!from.is_boolean())
        {
            throw decode_error("not a boolean");
        }
        value = from.get<bool>();
    }
};

template <class T>
struct codec<T, std::enable_if_t<std::is_integral<T>::value>>
{
    static json encode(T value)
    {
        return value;
    }
    static void decode(json const& from, T& value)
    {
        if (!from.is_number_integer())
        {
            throw decode_error("not an integer");
        }
        if (out_of_range(from))
        {
            throw decode_error("out of range");
        }
        value = from.get<T>();
    }

private:
    static bool out_of_range(json const& from)
    {
        using limits = std::numeric_limits<T>;
        if (from.is_number_unsigned())
        {
            return from.get<std::uint64_t>() >
                   static_cast<std::uint64_t>(limits::max());
        }
        auto const number = from.get<std::int64_t>();
        return std::is_unsigned<T>::value ||
               number < static_cast<std::int64_t>(limits::min());
    }
};

template <class T>
struct codec<T, std::enable_if_t<std::is_enum<T>::value>>
{
    static json encode(T value)
    {
        return static_cast<std::uint32_t>(value);
    }
    static void decode(json const& from, T& value)
    {
        std::uint32_t number = 0;
        codec<std::uint32_t>::decode(from, number);
        if (number > static_cast<std::uint32_t>(enum_last<T>::value))
        {
            throw decode_error("not a value of its enumeration");
        }
        value = static_cast<T>(number);
    }
};

template <>
struct codec<duration>
{
    static json encode(duration value)
    {
        return value.count();
    }
    static void decode(json const& from, duration& value)
    {
        std::int64_t count = 0;
        codec<std::int64_t>::decode(from, count);
        value = duration{count};
    }
};

/// Text travels as a byte string: it may hold anything.
template <>
struct codec<std::string>
{
    static json encode(std::string const& value)
    {
        return json::binary(
            std::vector<std::uint8_t>(value.begin(), value.end()));
    }
    static void decode(json const& from, std::string& value)
    {
        if (!from.is_binary())
        {
            throw decode_error("not a byte string");
        }
        auto const& bytes = from.get_binary();
        value.assign(bytes.begin(), bytes.end());
    }
};

template <class Tag>
struct codec<identifier<Tag>>
{
    static json encode(identifier<Tag> const& value)
    {
        return codec<std::string>::encode(value.text());
    }
    static void decode(json const& from, identifier<Tag>& value)
    {
        std::string text;
        codec<std::string>::decode(from, text);
        value = identifier<Tag>{std::move(text)};
    }
};

template <class T>
struct codec<std::vector<T>>
{
    static json encode(std::vector<T> const& values)
    {
        json result = json::array();
        for (auto const& value : values)
        {
            result.push_back(codec<T>::encode(value));
        }
        return result;
    }
    static void decode(json const& from, std::vector<T>& values)
    {
        if (!from.is_array())
        {
            throw decode_error("not an array");
        }
        values.clear();
        for (auto const& item : from)
        {
            values.emplace_back();
            codec<T>::decode(item, values.back());
        }
    }
};

/// A record is a map with its kind beside its body.
template <>
struct codec<record>
{
    static json encode(record const& value);
    static void decode(json const& from, record& value);
};

/// Parses CBOR, never deeper or larger than allowed.
/// @throws decode_error
json parse_cbor(std::string const& bytes);

/// Writes CBOR.
std::string write_cbor(json const& value);

} // namespace detail

} // namespace cuminfold

#endif
