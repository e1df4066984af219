#include "config/duration_text.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <string_view>

namespace cuminfold
{

namespace
{

struct unit
{
    std::string_view name_;
    std::int64_t microseconds_;
};

/// From the largest to the smallest.
constexpr std::array<unit, 5> units = {{{"h", 3'600'000'000},
                                        {"min", 60'000'000},
                                        {"s", 1'000'000},
                                        {"ms", 1'000},
                                        {"us", 1}}};

} // namespace

std::optional<duration> parse_duration(std::string const& text)
{
    std::int64_t count = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc{} || count < 0)
    {
        return std::nullopt;
    }
    std::string_view const name(parsed.ptr,
                                static_cast<std::size_t>(end - parsed.ptr));
    for (auto const& candidate : units)
    {
        auto const limit =
            std::numeric_limits<std::int64_t>::max() / candidate.microseconds_;
        if (name == candidate.name_ && count <= limit)
        {
            return duration{count * candidate.microseconds_};
        }
    }
    return std::nullopt;
}

std::string format_duration(duration value)
{
    if (value.count() == 0)
    {
        return "0s";
    }
    for (auto const& candidate : units)
    {
        if (value.count() % candidate.microseconds_ == 0)
        {
            return std::to_string(value.count() / candidate.microseconds_) +
                   std::string(candidate.name_);
        }
    }
    return std::to_string(value.count()) + "us";
}

} // namespace cuminfold
